import { z } from "zod";

/** Schema of the response to `POST /log/{stream}`. */
export const appendResponseSchema = z.object({
  /** Offset of the first appended record. */
  first: z.number().int().nonnegative(),
});

/** Schema of the response to `GET /log/{stream}`. */
export const readResponseSchema = z.object({
  /** Offset of the oldest record that the log still keeps. */
  oldest: z.number().int().nonnegative(),
  /** Offset of the next record to be appended. */
  end: z.number().int().nonnegative(),
  /** Time for which records are kept, in milliseconds. */
  retentionMs: z.number().positive(),
  /** Current time by the log's clock, in milliseconds. */
  now: z.number(),
  records: z.array(z.object({
    offset: z.number().int().nonnegative(),
    /** Time of the append by the log's clock, in milliseconds. */
    time: z.number(),
    data: z.string(),
  })),
});

/** A page of records, with the bounds and retention of the stream. */
export type ReadResponse = z.infer<typeof readResponseSchema>;

/** Schema of the response to `GET /vms`. */
export const vmListSchema = z.object({
  vms: z.array(z.object({
    kind: z.enum(["entry", "worker"]),
    name: z.string(),
    address: z.string(),
    zone: z.string(),
    rack: z.string().optional(),
    state: z.enum(["live", "leaving"]),
  })),
});

/** List of live and leaving VMs; it lags behind their actual state. */
export type VmList = z.infer<typeof vmListSchema>;
/** One VM of the list. */
export type VmInfo = VmList["vms"][number];
