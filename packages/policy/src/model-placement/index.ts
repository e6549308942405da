export {
  createPlacementTable,
  nextLoadOrder,
  withdrawLoadOrder,
} from './logic.js';
export type {
  IssuedOrder,
  LoadOrder,
  DesiredModel,
  PlaceableTarget,
  PlacementTable,
  PlacementTiming,
} from './types.js';
