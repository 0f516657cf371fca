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

// This file is compiled to dist/src, two directories below the package root.
const PROTO_FILE = fileURLToPath(
  new URL("../../proto/peer.proto", import.meta.url),
);

const packageDefinition = loadSync(PROTO_FILE, {
  longs: Number,
  enums: String,
  defaults: true,
  oneofs: true,
});
const grpcPackage = loadPackageDefinition(
  packageDefinition,
) as unknown as ProtoGrpcType;

/**
 * Client constructor of the peer service; its `service` is the service
 * definition for servers.
 */
export const PeerService: ProtoGrpcType["rattanhill"]["Peer"] =
  grpcPackage.rattanhill.Peer;

/**
 * Converts a request to its protobuf message, in which the fields of the shape
 * are not nested.
 *
 * @param spec the request
 * @returns the message to send
 */
export function encodeSpec(spec: RequestSpec): SpecMessage {
  const { shape, ...rest } = spec;
  return { ...rest, ...shape };
}

/**
 * Converts a received message to a request.
 *
 * @param message the message as decoded by gRPC
 * @returns the request with its shape
 */
export function decodeSpec(message: RequestSpec__Output): RequestSpec {
  const { parts, accelerators, adjacent, ...rest } = message;
  return {
    ...rest,
    shape: { parts, accelerators, adjacent: adjacent as Adjacency },
  };
}

/** Content of a heartbeat. */
export interface HeartbeatContent {
  /** Description of the sender. */
  info: EntryInfo;
  /** Version of the configuration in force at the sender. */
  configVersion: number;
  /** Summary of the sender's zone; only present when the sender leads it. */
  summary?: ZoneSummary;
}

/**
 * Converts a received heartbeat message to its content.
 *
 * @param message the message as decoded by gRPC
 * @returns the content; a summary missing from the message is `undefined`
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
