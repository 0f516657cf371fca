/** A queue or client account, which keeps its ID when it is renamed. */
export interface Identity {
  /** Under which its jobs are stored: its first name, unless that was taken. */
  id: string;
  name: string;
  /** What callers know it by: the address of a queue, the keys of an account. */
  marks: readonly string[];
  /** Earlier marks that it is still recognized by, newest first. */
  pastMarks: readonly string[];
}

/** Identities of the queues and client accounts of a configuration. */
export interface Identities {
  /** Version of the configuration that they were last derived from. */
  version: number;
  queues: readonly Identity[];
  accounts: readonly Identity[];
}

/** A queue or client account of a configuration. */
export type NamedItem = Pick<Identity, "name" | "marks">;

// Of removed items, which may come back.
const MAXIMUM_RETIRED = 200;
const MAXIMUM_PAST_MARKS = 4;

/**
 * Finds the identities of the items of a configuration. An item continues an
 * earlier one with its name and one of its marks; otherwise one with most of its
 * marks, which was renamed; otherwise one with its name; otherwise one that had
 * one of its marks before. Each earlier item is continued once.
 *
 * @param earlier identities of the items before, present ones first
 * @param items all items of the configuration
 * @param options version of the configuration, and whether marks that an item
 * loses count as past marks
 * @returns identities of the items in their order, then some removed ones
 */
export function continueIdentities(
  earlier: readonly Identity[],
  items: readonly NamedItem[],
  { version, keepsPastMarks }: { version: number; keepsPastMarks: boolean },
): Identity[] {
  const byName = indexBy(earlier, ({ name }) => [name]);
  const byMark = indexBy(earlier, ({ marks }) => marks);
  const byPastMark = indexBy(earlier, ({ pastMarks }) => pastMarks);
  const unclaimed = new Set(earlier);
  const claims = new Map<NamedItem, Identity>();
  /** Claims for the items with the most marks of a candidate first. */
  const claimBy = (candidatesOf: (item: NamedItem) => Identity[]): void => {
    const bestOf = (item: NamedItem) =>
      findMostFrequent(candidatesOf(item).filter((one) => unclaimed.has(one)));
    const open = items.filter((item) => !claims.has(item))
      .map((item) => ({ item, count: bestOf(item)?.count ?? 0 }))
      .sort((a, b) => b.count - a.count);
    for (const { item } of open) {
      const claimed = bestOf(item)?.identity;
      if (claimed === undefined) continue;
      unclaimed.delete(claimed);
      claims.set(item, claimed);
    }
  };
  const named = ({ name }: NamedItem) => byName.get(name) ?? [];
  claimBy((item) =>
    named(item).filter(({ marks }) =>
      item.marks.some((mark) => marks.includes(mark))
    )
  );
  claimBy(({ marks }) => marks.flatMap((mark) => byMark.get(mark) ?? []));
  claimBy(named);
  claimBy(({ marks }) => marks.flatMap((mark) => byPastMark.get(mark) ?? []));

  const usedIds = new Set(earlier.map(({ id }) => id));
  const createId = (name: string): string => {
    let id = name;
    while (usedIds.has(id)) id += `~${version}`;
    usedIds.add(id);
    return id;
  };
  const present = items.map((item): Identity => {
    const { name, marks } = item;
    const claimed = claims.get(item);
    if (claimed === undefined) {
      return { id: createId(name), name, marks, pastMarks: [] };
    }
    const pastMarks = keepsPastMarks
      ? [...claimed.marks, ...claimed.pastMarks]
        .filter((mark) => !marks.includes(mark)).slice(0, MAXIMUM_PAST_MARKS)
      : [];
    return { id: claimed.id, name, marks, pastMarks };
  });
  return [...present, ...[...unclaimed].slice(0, MAXIMUM_RETIRED)];
}

function indexBy(
  identities: readonly Identity[],
  keysOf: (identity: Identity) => readonly string[],
): Map<string, Identity[]> {
  const index = new Map<string, Identity[]>();
  for (const identity of identities) {
    for (const key of keysOf(identity)) {
      const found = index.get(key);
      if (found === undefined) index.set(key, [identity]);
      else found.push(identity);
    }
  }
  return index;
}

/** Returns the identity that is listed most often; the first one of several. */
function findMostFrequent(
  identities: readonly Identity[],
): { identity: Identity; count: number } | undefined {
  const counts = new Map<Identity, number>();
  for (const one of identities) counts.set(one, (counts.get(one) ?? 0) + 1);
  let best: { identity: Identity; count: number } | undefined;
  for (const [identity, count] of counts) {
    if (count > (best?.count ?? 0)) best = { identity, count };
  }
  return best;
}
