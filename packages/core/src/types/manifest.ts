import type {Digest, ModelName, VersionDigest} from './names';
import type {Bytes} from './units';

/** One chunk of a version. */
export interface ManifestChunk {
  readonly digest: Digest;
  readonly size: Bytes;
}

/** The content of one version: its chunks in order. */
export interface Manifest {
  readonly model: ModelName;
  /** Human-readable label, for example `2026-12-02.1`. */
  readonly label: string;
  readonly chunks: readonly ManifestChunk[];
}

/** A manifest with the digest of its canonical JSON form. */
export interface IdentifiedManifest {
  readonly versionDigest: VersionDigest;
  readonly manifest: Manifest;
}
