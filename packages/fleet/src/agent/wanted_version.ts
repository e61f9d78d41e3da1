import {
  canonicalJson,
  type Bytes,
  type BytesPerSecond,
  type IdentifiedManifest,
  type PlannedVersion,
  type ServiceName,
} from '@hibiscusbeam/core';
import {digestText} from '@hibiscusbeam/daemon';
import type {AgentService, OriginService} from '../link/services_copy';
import type {VersionContent} from '../ports';

/** The model that the engine is to hold. */
export interface WantedModel {
  readonly name: string;
  readonly chunkSize: Bytes;
  /** Chunks of each of its versions. */
  readonly chunks: number;
  /** Address of the origin of its weights. */
  readonly origin: string;
  readonly originRate: BytesPerSecond | undefined;
}

/** Returns the model that engines of `service` hold, and its origin. */
export function findWantedModel(
  services: readonly AgentService[],
  service: ServiceName,
): WantedModel | undefined {
  const own = services.find(({name}) => name === service);
  const origin = services.find(isOrigin);
  if (own?.kind !== 'modelEngine' || origin === undefined) return undefined;
  const [name] = own.weights.models;
  if (name === undefined) return undefined;
  return {
    name,
    chunkSize: own.weights.chunkSize,
    chunks: own.weights.chunks,
    origin: origin.address,
    originRate: origin.linkRate,
  };
}

/**
 * Returns the manifest of a version and the digest by which the swarm
 * identifies it.
 */
export function identifyVersion(
  content: VersionContent,
  chunkSize: number,
): IdentifiedManifest {
  const {model} = content;
  const label = String(content.version);
  const chunks = content.digests.map(digest => ({digest, size: chunkSize}));
  const versionDigest = digestText(canonicalJson({model, label, chunks}));
  return {versionDigest, manifest: {model, label, chunks}};
}

function isOrigin(service: AgentService): service is OriginService {
  return service.kind === 'weightOrigin';
}

/** A version that is being fetched or has been fetched. */
export interface FetchedVersion extends PlannedVersion {
  readonly content: VersionContent;
  readonly identified: IdentifiedManifest;
}
