/** Lookup of routes and keys, and validation of route tables. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {serviceId, workspaceId} from '@samphirefield/core';
import {buildRouteIndex, pickService} from './lookup.js';
import type {Route, RouteTable} from './types.js';
import {validateRouteTable} from './validate.js';

const route: Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/x/',
  kind: 'safe',
  timeoutMs: 1_000,
  objectiveMs: 100,
  priority: 0,
  services: [{service: serviceId('one'), weight: 1}],
  maxRuns: 1,
  isPublic: false,
  eventGapMs: 0,
  isResumable: false,
};

const table: RouteTable = {
  version: 1,
  routes: [route, {...route, name: 'deep', pathPrefix: '/x/y/'}],
  services: ['one', 'two'].map(name => ({
    name: serviceId(name),
    healthPath: '/h',
    maxConnections: 1,
    coldRequestsPerS: 0,
    engine: undefined,
  })),
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  workspaces: [
    {name: workspaceId('w1'), keys: ['k1', 'k2'], priority: undefined},
    {name: workspaceId('w2'), keys: ['k3'], priority: 1},
  ],
};

const reasonOf = (overrides: Partial<RouteTable>): string | undefined => {
  const result = validateRouteTable({...table, ...overrides});
  return result.isErr() ? result.error.reason : undefined;
};
const withRoute = (overrides: Partial<Route>) =>
  reasonOf({routes: [{...route, ...overrides}]});

test('another route is found than by trying all of them', () => {
  const part = fc.constantFrom('a', 'b', 'ab');
  const prefix = fc.array(part).map(parts => `/${parts.join('/')}/`);
  const path = fc.array(part).map(parts => `/${parts.join('/')}`);
  fc.assert(
    fc.property(fc.uniqueArray(prefix), path, (prefixes, requested) => {
      const routes = prefixes.map(pathPrefix => ({...route, pathPrefix}));
      const index = buildRouteIndex({...table, routes});
      const [longest] = prefixes
        .filter(item => requested.startsWith(item))
        .sort((a, b) => b.length - a.length);
      const found = index.findRoute(route.host, requested)?.pathPrefix;
      expect(found).toEqual(longest);
    }),
  );
});

test('finds the route with the longest path prefix of the host', () => {
  const index = buildRouteIndex(table);
  expect(index.findRoute('a.example', '/x/y/z')?.name).toEqual('deep');
  expect(index.findRoute('a.example', '/x/yz')?.name).toEqual('r');
  expect(index.findRoute('a.example', '/xy')).toEqual(undefined);
  expect(index.findRoute('b.example', '/x/y')).toEqual(undefined);
});

test('finds a workspace by each of its keys', () => {
  const index = buildRouteIndex(table);
  expect(index.findWorkspace('k2')?.name).toEqual(workspaceId('w1'));
  expect(index.findWorkspace('k3')?.name).toEqual(workspaceId('w2'));
  expect(index.findWorkspace('k4')).toEqual(undefined);
});

test('picks services by weight and never one of weight 0', () => {
  const services = [
    {service: serviceId('one'), weight: 90},
    {service: serviceId('two'), weight: 10},
    {service: serviceId('three'), weight: 0},
  ];
  const pick = (random: number) => pickService({...route, services}, random);
  expect(pick(0)).toEqual(serviceId('one'));
  expect(pick(0.89)).toEqual(serviceId('one'));
  expect(pick(0.91)).toEqual(serviceId('two'));
  expect(pick(0.999999)).toEqual(serviceId('two'));
});

test('accepts a valid table', () => {
  expect(reasonOf({})).toEqual(undefined);
});

test('rejects invalid combinations of fields', () => {
  const unknown = [{service: serviceId('none'), weight: 1}];
  const weightless = [{service: serviceId('one'), weight: 0}];
  expect(withRoute({services: unknown})).toEqual(
    'route r refers to the unknown service none',
  );
  expect(withRoute({services: weightless})).toEqual(
    'route r has service weights that add up to 0',
  );
  expect(withRoute({timeoutMs: 0})).toEqual('route r has no positive timeout');
  expect(withRoute({isResumable: true})).toEqual(
    'route r is resumable and no stream',
  );
  expect(withRoute({kind: 'stream', isResumable: true})).toEqual(undefined);
  expect(reasonOf({routes: [route, {...route, name: 'twin'}]})).toEqual(
    'two routes have the same host and path prefix: a.example /x/',
  );
});

test('rejects a key that two workspaces share', () => {
  const [first, second] = table.workspaces;
  const workspaces = [first!, {...second!, keys: ['k1']}];
  expect(reasonOf({workspaces})).toEqual(
    'the workspaces w1 and w2 share a key',
  );
});

test('accepts a key that one workspace lists twice', () => {
  const [first] = table.workspaces;
  expect(reasonOf({workspaces: [{...first!, keys: ['k1', 'k1']}]})).toEqual(
    undefined,
  );
});
