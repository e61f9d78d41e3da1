import type {RoutingConfiguration} from '@hibiscusbeam/core';
import {Ok} from 'ts-results';
import {expect, test} from 'vitest';
import {createHeldConfiguration} from '../../packages/fleet/src/entry/held_configuration';
import {createConfigurationCopies} from '../../packages/fleet/src/link/configuration_copies';
import type {OperatorReading} from '../../packages/fleet/src/ports';
import {errorFreeLog} from '../fixtures/error_free_log';

function configurationOf(version: number): RoutingConfiguration {
  return {
    version,
    routes: [],
    services: [],
    workspaces: [],
    limits: {headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1},
  };
}

/**
 * A reading of the store at `revision`, whose configuration row was written at
 * `written`.
 */
function readingOf(
  version: number,
  written: number,
  revision: number,
): OperatorReading {
  const text = Buffer.from(String(version));
  return {
    revision,
    era: 0,
    storeTime: 0,
    unusable: [],
    configuration: configurationOf(version),
    document: {revision: written, text},
    isConfigurationLost: false,
    namedVersions: [],
    evacuations: [],
    newestChange: written,
  };
}

function startHolder() {
  const copies = createConfigurationCopies();
  const held = createHeldConfiguration({
    copies,
    decode: ({text}) => Ok(configurationOf(Number(text.toString()))),
    log: errorFreeLog,
    onAdopted: () => undefined,
  });
  return {copies, held, version: () => held.table()?.version};
}

test('an older configuration of a restored store is not adopted', () => {
  const {held, version} = startHolder();
  held.takeReading(readingOf(38, 60, 60));
  held.takeReading(readingOf(34, 205, 270));
  expect(version()).toBe(38);
});

test('an entry that starts after a restore receives the configuration that the store lost', () => {
  const before = startHolder();
  before.held.takeReading(readingOf(38, 60, 60));
  before.held.takeReading(readingOf(34, 205, 270));
  const started = startHolder();
  started.held.takeReading(readingOf(34, 205, 270));
  const copy = before.copies.write(started.copies.newestRevision());
  started.held.takeCopy(copy!);
  expect(started.version()).toBe(38);
});

test('a configuration written after a restore counts as newer for all entries', () => {
  const before = startHolder();
  before.held.takeReading(readingOf(38, 60, 60));
  before.held.takeReading(readingOf(34, 205, 270));
  before.held.takeReading(readingOf(40, 271, 271));
  expect(before.held.revision()).toBe(271);
  expect(before.version()).toBe(40);
});
