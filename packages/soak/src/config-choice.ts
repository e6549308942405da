/** The configurations that a soak puts in force. */
import {pick, type Draw} from './schedule.js';
import type {ConfigChoice} from './types.js';

export const PLAIN_SERVICES = ['desk-a', 'desk-b'] as const;
export const ENGINE_SERVICE = 'engines';
const MAX_FEW_ROUTES = 20;
/** From this number on, a draw means a large configuration. */
const LARGE_FROM = 18;
const LARGE_FACTOR = 100;

export function drawConfigChoice(draw: Draw): Omit<ConfigChoice, 'version'> {
  const plainService = pick(draw, PLAIN_SERVICES);
  const few = draw(0, MAX_FEW_ROUTES);
  const spareRoutes = few < LARGE_FROM ? few : few * LARGE_FACTOR;
  return {plainService, engineService: ENGINE_SERVICE, spareRoutes};
}
