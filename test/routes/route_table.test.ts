import {
  chooseService,
  createRouteTable,
  type Route,
  type RoutingConfiguration,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

function route(name: string, changes: Partial<Route> = {}): Route {
  return {
    name,
    host: 'site.example',
    prefix: '/',
    kind: 'safe',
    shares: [{service: 'plain', weight: 1}],
    timeout: 1_000,
    objective: 200,
    pauseObjective: undefined,
    priority: 1,
    attempts: 2,
    anonymous: false,
    resumable: false,
    allowedRegions: undefined,
    ...changes,
  };
}

function tableOf(
  routes: readonly Route[],
  workspaces?: RoutingConfiguration['workspaces'],
) {
  return createRouteTable({
    version: 1,
    routes,
    services: [],
    workspaces,
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  });
}

test('the longest prefix that matches the path is chosen', () => {
  const table = tableOf([
    route('short', {prefix: '/a/'}),
    route('long', {prefix: '/a/b/'}),
  ]);
  expect(table.find('site.example', '/a/b/c?d=1')?.name).toBe('long');
  expect(table.find('site.example', '/a/bc')?.name).toBe('short');
  expect(table.find('site.example', '/other')).toBeUndefined();
});

test('hosts are matched regardless of case and port', () => {
  const table = tableOf([route('one')]);
  expect(table.find('Site.Example:8080', '/')?.name).toBe('one');
  expect(table.find('other.example', '/')).toBeUndefined();
});

test("a key grants access to its workspace's routes, and no key grants none", () => {
  const shop = {
    name: 'shop',
    keys: ['k'],
    priority: 0,
    allowedRegions: undefined,
  };
  const table = tableOf([route('one')], [shop]);
  const access = (key: string | undefined) => table.access(route('one'), key);
  expect(access('k')).toEqual({kind: 'workspace', workspace: shop});
  expect(access('other').kind).toBe('denied');
  expect(access(undefined).kind).toBe('denied');
  const open = route('open', {anonymous: true});
  expect(table.access(open, undefined).kind).toBe('anonymous');
});

test('a split sends each request to one service, by weight over many', () => {
  const split = route('split', {
    shares: [
      {service: 'most', weight: 90},
      {service: 'few', weight: 10},
    ],
  });
  const chosen = Array.from({length: 2_000}, (_, index) =>
    chooseService(split, `request-${index}`),
  );
  const few = chosen.filter(service => service === 'few').length;
  expect(few).toBeGreaterThan(120);
  expect(few).toBeLessThan(280);
  expect(chooseService(split, 'request-1')).toBe(chosen[1]);
});
