/** The rules that a route table has to meet before it is accepted. */
import {err, ok, type Result} from 'neverthrow';
import {KIND_TRAITS, type Route, type RouteTable} from './types.js';

export interface InvalidTable {
  readonly kind: 'invalid_table';
  readonly reason: string;
}

const invalid = (reason: string) =>
  err({kind: 'invalid_table' as const, reason});

function findDuplicate(values: readonly string[]): string | undefined {
  const seen = new Set<string>();
  return values.find(value => seen.size === seen.add(value).size);
}

function checkRoute(
  route: Route,
  services: ReadonlySet<string>,
): string | undefined {
  const {name, services: backends} = route;
  const unknown = backends.find(item => !services.has(item.service));
  if (unknown)
    return `route ${name} refers to the unknown service ${unknown.service}`;
  if (backends.some(item => item.weight < 0))
    return `route ${name} has a service with a negative weight`;
  const totalWeight = backends.reduce((sum, item) => sum + item.weight, 0);
  if (totalWeight <= 0)
    return `route ${name} has service weights that add up to 0`;
  if (route.timeoutMs <= 0) return `route ${name} has no positive timeout`;
  if (route.isResumable && !KIND_TRAITS[route.kind].isStreamed)
    return `route ${name} is resumable and no stream`;
  const isPrefix =
    route.pathPrefix.startsWith('/') && route.pathPrefix.endsWith('/');
  if (!isPrefix)
    return `route ${name} has a path prefix that does not begin and end with a slash`;
  return undefined;
}

/** Checks rules that span several fields: names, duplicates, weights, keys. */
export function validateRouteTable(
  table: RouteTable,
): Result<RouteTable, InvalidTable> {
  const services = new Set<string>(table.services.map(item => item.name));
  for (const route of table.routes) {
    const reason = checkRoute(route, services);
    if (reason) return invalid(reason);
  }
  const locations = table.routes.map(
    route => `${route.host} ${route.pathPrefix}`,
  );
  const duplicateLocation = findDuplicate(locations);
  if (duplicateLocation)
    return invalid(
      `two routes have the same host and path prefix: ${duplicateLocation}`,
    );
  const service = findDuplicate(table.services.map(item => item.name));
  if (service) return invalid(`two services have the name ${service}`);
  const owners = table.workspaces.flatMap(({name, keys}) =>
    [...new Set(keys)].map(key => ({name, key})),
  );
  const key = findDuplicate(owners.map(owner => owner.key));
  if (key !== undefined) {
    const names = owners.filter(owner => owner.key === key);
    return invalid(
      `the workspaces ${names.map(owner => owner.name).join(' and ')} share a key`,
    );
  }
  return ok(table);
}
