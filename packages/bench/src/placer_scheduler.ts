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
 * Adapts the project's placer to the interface of schedulers under test.
 *
 * @param policy mechanisms of the policy that are switched on
 * @returns a factory of schedulers that use the placer
 */
export function createPlacerFactory(
  policy: PlacerPolicy = FULL_POLICY,
): SchedulerFactory {
  return (deployment, host) => {
    const jobs = new Map<string, SimulatedJob>();
    const attemptsByJob = new Map<string, number>();
    const specsByJob = new Map<string, RequestSpec>();
    let leaseCount = 0;
    const placer = createPlacer({
      zone: deployment.zone,
      policy,
      host: {
        hold: (plan) => {
          const lostPart = plan.parts.find(({ target }) =>
            !host.fleet.worker(target.name).isAlive
          );
          // A lost worker refuses holds even if its loss is not detected yet.
          if (lostPart !== undefined) {
            placer.requeueRefused(plan);
            placer.removeWorker(lostPart.target.name);
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
        createLeaseName: () => `lease-${++leaseCount}`,
        random: host.random,
      },
    });
    placer.configure(createRules(deployment));
    const specOf = (job: SimulatedJob): RequestSpec => {
      const spec = specsByJob.get(job.id) ?? createRequestSpec(job, deployment);
      specsByJob.set(job.id, spec);
      return spec;
    };
    return {
      submit: (job, now) => {
        jobs.set(job.id, job);
        const attempt = (attemptsByJob.get(job.id) ?? 0) + 1;
        attemptsByJob.set(job.id, attempt);
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
      runPass: (now) => placer.decide(now),
    };
  };
}

/**
 * Creates the placer's rules for a deployment.
 *
 * @param deployment accounts and classes
 * @returns rules that do not limit the number of waiting requests
 */
export function createRules({ zone, accounts, classes }: Deployment): Rules {
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
  const classRules = classes.map((loadClass): [string, ClassRule] => [
    loadClass.name,
    {
      name: loadClass.name,
      priority: loadClass.priority,
      waitMs: loadClass.waitMs,
      repeatable: loadClass.repeatable,
      preemptible: loadClass.preemptible,
      ...loadClass.shape,
      expectedMs: loadClass.meanRunMs,
      refuseOver: Infinity,
    },
  ]);
  return { accounts: new Map(accountRules), classes: new Map(classRules) };
}

function createRequestSpec(
  job: SimulatedJob,
  { classes }: Deployment,
): RequestSpec {
  const loadClass = classes.find(({ name }) => name === job.class)!;
  return {
    id: job.id,
    account: job.account,
    key: job.id,
    class: job.class,
    shape: job.shape,
    repeatable: loadClass.repeatable,
    preemptible: loadClass.preemptible,
    priority: loadClass.priority,
    expectedMs: job.declaredMs,
    deadlineMs: 3_600_000,
    isJob: false,
    bodyDigest: "",
  };
}
