import {
  type AccountRule,
  type ClassRule,
  createPlacer,
  FULL_POLICY,
  type PlacerPolicy,
  type RequestSpec,
  type Rules,
} from "@rattanhill/core";
import type { SchedulerFactory } from "./simulation.ts";
import type { Deployment, SimulatedJob } from "./workload.ts";

/**
 * Adapts the project's placer to the policy bench.
 *
 * @param policy parts of the policy that are switched on
 * @returns a factory of schedulers that use the placer
 */
export function createPlacerFactory(
  policy: PlacerPolicy = FULL_POLICY,
): SchedulerFactory {
  return (deployment, host) => {
    const jobs = new Map<string, SimulatedJob>();
    const attempts = new Map<string, number>();
    const specs = new Map<string, RequestSpec>();
    let leases = 0;
    const placer = createPlacer({
      zone: deployment.zone,
      policy,
      host: {
        hold: (plan) => {
          const dead = plan.parts.find(({ target }) =>
            !host.fleet.worker(target.name).isAlive
          );
          if (dead !== undefined) {
            placer.requeueRefused(plan);
            placer.removeWorker(dead.target.name);
            return;
          }
          host.start(
            jobs.get(plan.spec.id)!,
            plan.parts.map(({ target, lease }) => ({
              descriptor: lease,
              worker: target.name,
            })),
          );
          const sequences = plan.parts.map(({ target }) =>
            host.fleet.worker(target.name).report.sequence
          );
          placer.confirmHolds(plan, sequences);
        },
        preempt: (victims) => host.preempt(victims.map(({ lease }) => lease)),
        refuse: (id, _attempt, { retryAfterMs }) =>
          host.refuse(jobs.get(id)!, retryAfterMs),
        createLeaseName: () => `lease-${++leases}`,
        random: host.random,
      },
    });
    placer.configure(rulesOf(deployment));
    const specOf = (job: SimulatedJob): RequestSpec => {
      const known = specs.get(job.id) ?? createRequestSpec(job, deployment);
      specs.set(job.id, known);
      return known;
    };
    return {
      submit: (job, now) => {
        jobs.set(job.id, job);
        const attempt = (attempts.get(job.id) ?? 0) + 1;
        attempts.set(job.id, attempt);
        const spec = specOf(job);
        placer.submit({ spec, attempt, owner: "owner", avoid: [] }, now);
      },
      cancel: (id) => void placer.withdraw(id),
      updateWorker: (worker, now) => {
        if (!host.fleet.worker(worker).isAlive) return;
        placer.applyReport(host.fleet.report(worker, now), now);
      },
      removeWorker: (worker) => placer.removeWorker(worker),
      recordTaskEnd: (lease, worker, { ranMs, hasFailed }, now) =>
        placer.recordTaskEnd({ ...lease, worker, hasFailed }, ranMs, now),
      decide: (now) => placer.decide(now),
    };
  };
}

/**
 * Creates the rules of a deployment.
 *
 * @param deployment accounts and classes
 * @returns rules without limits on the number of waiting requests
 */
export function rulesOf({ zone, accounts, classes }: Deployment): Rules {
  const accountRules = accounts.map((account): [string, AccountRule] => [
    account.name,
    {
      name: account.name,
      weight: account.weight,
      guarantees: account.guarantee > 0
        ? [{
          zone,
          accelerators: account.guarantee,
          adjacent: account.adjacent,
        }]
        : [],
      keyDigests: [],
      waitingLimit: Infinity,
      classes: [],
    },
  ]);
  const classRules = classes.map((kind): [string, ClassRule] => [
    kind.name,
    {
      name: kind.name,
      priority: kind.priority,
      waitMs: kind.waitMs,
      repeatable: kind.repeatable,
      preemptible: kind.preemptible,
      ...kind.shape,
      expectedMs: kind.meanRunMs,
      refuseOver: Infinity,
    },
  ]);
  return { accounts: new Map(accountRules), classes: new Map(classRules) };
}

function createRequestSpec(
  job: SimulatedJob,
  { classes }: Deployment,
): RequestSpec {
  const kind = classes.find(({ name }) => name === job.class)!;
  return {
    id: job.id,
    account: job.account,
    key: job.id,
    class: job.class,
    shape: job.shape,
    repeatable: kind.repeatable,
    preemptible: kind.preemptible,
    priority: kind.priority,
    expectedMs: job.declaredMs,
    deadlineMs: 3_600_000,
    isJob: false,
    bodyDigest: "",
  };
}
