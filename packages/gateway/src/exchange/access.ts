/** Finds the route of a request and the workspace whose key it carries. */
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Route, RouteIndex, WorkspaceSpec} from '../routes/index.js';
import type {LocalResponse} from './types.js';

export interface Access {
  readonly route: Route;
  /** Undefined on public routes without a known key. */
  readonly workspace: WorkspaceSpec | undefined;
}

export function findAccess(
  routeIndex: RouteIndex,
  {headers, url = '/'}: IncomingMessage,
  apiKey: string | undefined,
): Result<Access, LocalResponse> {
  const host = (headers.host ?? '').split(':')[0]!.toLowerCase();
  const path = url.split('?')[0]!;
  const route = routeIndex.findRoute(host, path);
  if (route === undefined) return err({kind: 'no_route'});
  const needsKey = routeIndex.needsKeys && !route.isPublic;
  const workspace =
    apiKey === undefined ? undefined : routeIndex.findWorkspace(apiKey);
  if (needsKey && workspace === undefined) return err({kind: 'unknown_key'});
  return ok({route, workspace});
}
