export {createPlacement, nextOrder, withdrawOrder} from './logic.js';
export type {
  IssuedOrder,
  LoadOrder,
  ModelWish,
  PlaceableTarget,
  PlacementTable,
  PlacementTiming,
} from './types.js';
