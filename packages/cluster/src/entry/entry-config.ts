/** The configuration that an entry builds from the state of the control group. */
import {err, ok, type Result} from 'neverthrow';
import {zoneId} from '@samphirefield/core';
import {
  buildRouteIndex,
  type ActiveConfig,
  type RouteTable,
} from '@samphirefield/gateway';
import type {StateUpdate} from '../control/index.js';

export interface NextConfig {
  readonly config: ActiveConfig;
  readonly hasNewTable: boolean;
}

/**
 * `none`: no configuration was accepted yet. The table of the current
 * configuration is kept if the state has the same version.
 */
export function nextConfig(
  current: ActiveConfig | undefined,
  state: StateUpdate,
  decode: (document: string) => Result<RouteTable, unknown>,
): Result<NextConfig, 'none' | 'unreadable'> {
  const {index, version, document} = state;
  const zonesOut = new Set(state.zonesOut.map(zone => zoneId(zone)));
  if (current?.view.table.version === version) {
    const {routeIndex, view} = current;
    const config = {view: {index, table: view.table, zonesOut}, routeIndex};
    return ok({config, hasNewTable: false});
  }
  if (version === 0 || document === undefined) return err('none');
  const decoded = decode(document);
  if (decoded.isErr()) return err('unreadable');
  const table = decoded.value;
  const routeIndex = buildRouteIndex(table);
  const config = {view: {index, table, zonesOut}, routeIndex};
  return ok({config, hasNewTable: true});
}
