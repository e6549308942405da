/**
 * An index to find the route of a request and the workspace of a key. It is
 * built once per route table.
 */
import {createHash} from 'node:crypto';
import type {ServiceId} from '@samphirefield/core';
import type {Route, RouteTable, ServiceSpec, WorkspaceSpec} from './types.js';

export interface RouteIndex {
  readonly table: RouteTable;
  readonly needsKeys: boolean;
  findRoute(host: string, path: string): Route | undefined;
  findWorkspace(key: string): WorkspaceSpec | undefined;
  findService(name: ServiceId): ServiceSpec | undefined;
}

/**
 * Keys are looked up by their hash, so that timing reveals nothing about them.
 */
function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}

/** The routes of one host, found by their prefixes. */
interface HostRoutes {
  readonly byPrefix: Map<string, Route>;
  /** Lengths of the prefixes, the longest first. */
  lengths: readonly number[];
}

function groupByHost(routes: readonly Route[]): Map<string, HostRoutes> {
  const byHost = new Map<string, HostRoutes>();
  for (const route of routes) {
    const host = byHost.get(route.host) ?? {byPrefix: new Map(), lengths: []};
    host.byPrefix.set(route.pathPrefix, route);
    byHost.set(route.host, host);
  }
  for (const host of byHost.values()) {
    const lengths = new Set([...host.byPrefix.keys()].map(key => key.length));
    host.lengths = [...lengths].sort((a, b) => b - a);
  }
  return byHost;
}

function findLongest(
  {byPrefix, lengths}: HostRoutes,
  path: string,
): Route | undefined {
  for (const length of lengths) {
    const route = byPrefix.get(path.slice(0, length));
    if (route) return route;
  }
  return undefined;
}

export function buildRouteIndex(table: RouteTable): RouteIndex {
  const byHost = groupByHost(table.routes);
  const workspaces = new Map<string, WorkspaceSpec>();
  for (const workspace of table.workspaces) {
    for (const key of workspace.keys) workspaces.set(hashKey(key), workspace);
  }
  const services = new Map(table.services.map(item => [item.name, item]));
  return {
    table,
    needsKeys: table.workspaces.length > 0,
    findRoute: (host, path) => {
      const routes = byHost.get(host);
      return routes && findLongest(routes, path);
    },
    findWorkspace: key => workspaces.get(hashKey(key)),
    findService: name => services.get(name),
  };
}

/** Picks a service of the route by weight; `random` is in [0, 1). */
export function pickService(route: Route, random: number): ServiceId {
  const total = route.services.reduce((sum, item) => sum + item.weight, 0);
  let remaining = random * total;
  for (const {service, weight} of route.services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.services.findLast(item => item.weight > 0)!.service;
}
