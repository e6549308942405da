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

export function buildRouteIndex(table: RouteTable): RouteIndex {
  const byHost = new Map<string, Route[]>();
  for (const route of table.routes) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  const workspaces = new Map<string, WorkspaceSpec>();
  for (const workspace of table.workspaces) {
    for (const key of workspace.keys) workspaces.set(hashKey(key), workspace);
  }
  const services = new Map(table.services.map(item => [item.name, item]));
  return {
    table,
    needsKeys: table.workspaces.length > 0,
    findRoute: (host, path) =>
      byHost.get(host)?.find(route => path.startsWith(route.pathPrefix)),
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
