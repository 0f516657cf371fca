import { fileURLToPath } from "node:url";
import { loadPackageDefinition } from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";
import type {
  Adjacency,
  EntryInfo,
  RequestSpec,
  ZoneSummary,
} from "@rattanhill/core";
import type { ProtoGrpcType } from "./generated/peer.ts";
import type { HeartbeatMessage__Output } from "./generated/rattanhill/HeartbeatMessage.ts";
import type { RequestSpec as SpecMessage } from "./generated/rattanhill/RequestSpec.ts";
import type { RequestSpec__Output } from "./generated/rattanhill/RequestSpec.ts";

// Compiled files stand two folders below the package's root.
const PROTO_FILE = fileURLToPath(
  new URL("../../proto/peer.proto", import.meta.url),
);

const definition = loadSync(PROTO_FILE, {
  longs: Number,
  enums: String,
  defaults: true,
  oneofs: true,
});
const loaded = loadPackageDefinition(definition) as unknown as ProtoGrpcType;

/** Constructor of clients of the peer service, with its service definition. */
export const PeerService: ProtoGrpcType["rattanhill"]["Peer"] =
  loaded.rattanhill.Peer;

/**
 * Converts a request to its message.
 *
 * @param spec the request
 * @returns the message
 */
export function encodeSpec(spec: RequestSpec): SpecMessage {
  const { shape, ...rest } = spec;
  return { ...rest, ...shape };
}

/**
 * Converts a message to a request.
 *
 * @param message the message
 * @returns the request
 */
export function decodeSpec(message: RequestSpec__Output): RequestSpec {
  const { parts, accelerators, adjacent, ...rest } = message;
  return {
    ...rest,
    shape: { parts, accelerators, adjacent: adjacent as Adjacency },
  };
}

/** What a heartbeat carries besides the sender's description. */
export interface HeartbeatContent {
  info: EntryInfo;
  configVersion: number;
  summary?: ZoneSummary;
}

/**
 * Reads a heartbeat.
 *
 * @param message the message
 * @returns its content
 */
export function decodeHeartbeat(
  message: HeartbeatMessage__Output,
): HeartbeatContent {
  const { id, name, address, zone, startedAt, leaving } = message;
  return {
    info: { id, name, address, zone, startedAt, leaving },
    configVersion: message.configVersion,
    summary: message.summary ?? undefined,
  };
}
