import {
  CLAIMANT,
  createClaimClass,
  type Deployment,
  type LoadCase,
} from "./workload.ts";

// Deployment at Notun Para. People wait for welcome drafts; venue scoring runs
// as gang jobs on adjacent accelerators.
const NOTUN_PARA: Deployment = {
  name: "notun-para",
  zone: "kol",
  sizes: new Array<number>(33).fill(8),
  workersPerRack: 8,
  accounts: [
    { name: "drafts", weight: 2, guarantee: 48, adjacent: "none" },
    { name: "groups", weight: 1, guarantee: 16, adjacent: "none" },
    { name: "venues", weight: 2, guarantee: 64, adjacent: "rack" },
    { name: CLAIMANT, weight: 1, guarantee: 32, adjacent: "rack" },
  ],
  classes: [
    {
      name: "welcome-draft",
      accounts: ["drafts"],
      priority: 90,
      repeatable: true,
      preemptible: false,
      waitMs: 10_000,
      shape: { parts: 1, accelerators: 1, adjacent: "none" },
      share: 0.03,
      meanRunMs: 500,
      isInteractive: true,
    },
    {
      name: "group-suggestion",
      accounts: ["groups", "venues"],
      priority: 50,
      repeatable: true,
      preemptible: true,
      waitMs: 600_000,
      shape: { parts: 1, accelerators: 2, adjacent: "none" },
      share: 0.47,
      meanRunMs: 15_000,
    },
    {
      name: "venue-fit",
      accounts: ["venues"],
      priority: 30,
      repeatable: true,
      preemptible: true,
      waitMs: 1_200_000,
      shape: { parts: 8, accelerators: 4, adjacent: "rack" },
      share: 0.5,
      meanRunMs: 60_000,
    },
    createClaimClass(32),
  ],
};

// Deployment at Vatuwaqa. Route plans must not run twice, reconciliation may
// wait, and the gang jobs that plan areas need one rack.
const VATUWAQA: Deployment = {
  name: "vatuwaqa",
  zone: "suva",
  sizes: new Array<number>(33).fill(8),
  workersPerRack: 8,
  accounts: [
    { name: "routes", weight: 2, guarantee: 64, adjacent: "rack" },
    { name: "drivers", weight: 1, guarantee: 32, adjacent: "none" },
    { name: "crates", weight: 1, guarantee: 0, adjacent: "none" },
    { name: CLAIMANT, weight: 1, guarantee: 32, adjacent: "rack" },
  ],
  classes: [
    {
      name: "route-plan",
      accounts: ["routes"],
      priority: 90,
      repeatable: false,
      preemptible: false,
      waitMs: 10_000,
      shape: { parts: 1, accelerators: 2, adjacent: "none" },
      share: 0.06,
      meanRunMs: 1_000,
      isInteractive: true,
    },
    {
      name: "reconciliation",
      accounts: ["crates", "drivers"],
      priority: 20,
      repeatable: true,
      preemptible: true,
      waitMs: 1_200_000,
      shape: { parts: 1, accelerators: 1, adjacent: "none" },
      share: 0.49,
      meanRunMs: 20_000,
    },
    {
      name: "area-plan",
      accounts: ["drivers", "routes"],
      priority: 40,
      repeatable: true,
      preemptible: true,
      waitMs: 1_200_000,
      shape: { parts: 4, accelerators: 8, adjacent: "rack" },
      share: 0.45,
      meanRunMs: 60_000,
    },
    createClaimClass(32),
  ],
};

const TEAMS = Array.from({ length: 36 }, (_, index) => `team-${index}`);

// A zone of the size that the scheduler must support: 80 workers, 190
// accelerators, 37 accounts.
const REFERENCE_ZONE: Deployment = {
  name: "letter-zone",
  zone: "zone",
  sizes: Array.from({ length: 80 }, (_, index) => index < 50 ? 2 : 3),
  workersPerRack: 8,
  accounts: [
    ...TEAMS.map((name, index) => ({
      name,
      weight: 1,
      guarantee: index < 18 ? 4 : 0,
      adjacent: "none" as const,
    })),
    { name: CLAIMANT, weight: 1, guarantee: 12, adjacent: "rack" as const },
  ],
  classes: [
    {
      name: "urgent",
      accounts: TEAMS.slice(0, 18),
      priority: 90,
      repeatable: false,
      preemptible: false,
      waitMs: 10_000,
      shape: { parts: 1, accelerators: 1, adjacent: "none" },
      share: 0.05,
      meanRunMs: 1_000,
      isInteractive: true,
    },
    {
      name: "batch",
      accounts: TEAMS,
      priority: 20,
      repeatable: true,
      preemptible: true,
      waitMs: 1_200_000,
      shape: { parts: 1, accelerators: 1, adjacent: "none" },
      share: 0.45,
      meanRunMs: 30_000,
    },
    {
      name: "training",
      accounts: TEAMS,
      priority: 40,
      repeatable: true,
      preemptible: true,
      waitMs: 1_200_000,
      shape: { parts: 6, accelerators: 2, adjacent: "rack" },
      share: 0.5,
      meanRunMs: 60_000,
    },
    createClaimClass(12),
  ],
};

/** Deployments of the policy bench. */
export const DEPLOYMENTS: readonly Deployment[] = [
  NOTUN_PARA,
  VATUWAQA,
  REFERENCE_ZONE,
];

/** Loads and faults that the bench applies to each deployment. */
export const CASES: readonly LoadCase[] = [
  { name: "steady-70", offeredLoad: 0.7 },
  { name: "steady-90", offeredLoad: 0.9 },
  { name: "steady-110", offeredLoad: 1.1 },
  {
    name: "bursts-small-90",
    offeredLoad: 0.9,
    bursts: { class: "small", size: 0.5 },
  },
  {
    name: "bursts-large-90",
    offeredLoad: 0.9,
    bursts: { class: "large", size: 1 },
  },
  { name: "declared-wrong-90", offeredLoad: 0.9, declarationError: 5 },
  { name: "cancel-wave-90", offeredLoad: 0.9, cancelShare: 0.3 },
  { name: "black-hole-70", offeredLoad: 0.7, blackHole: true },
  { name: "rack-lost-70", offeredLoad: 0.7, rackLost: true },
  { name: "never-fits-70", offeredLoad: 0.7, neverFits: 0.05 },
  { name: "claim-110", offeredLoad: 1.1, claim: true },
];
