/**
 * Asks once more, right before the first byte of a request is written, whether
 * it may still be sent; and tells afterwards whether any byte was.
 *
 * A process can be frozen between its decision and the write. On waking it must
 * not act on a lease that has run out meanwhile.
 */
import type {Dispatcher} from 'undici';

export interface StartGuard {
  readonly mayStart: () => boolean;
  /** Set once bytes may have left. */
  hasStarted: boolean;
}

export class StartRefusedError extends Error {
  constructor() {
    super('the request may no longer be sent');
  }
}

/** Passes everything on to the handler, after the guard's word on the start. */
function guardHandler(
  guard: StartGuard,
  handler: Dispatcher.DispatchHandler,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      handler.onRequestStart?.(controller, context);
      if (guard.mayStart()) guard.hasStarted = true;
      else controller.abort(new StartRefusedError());
    },
    onRequestUpgrade: (...call) => handler.onRequestUpgrade?.(...call),
    onResponseStart: (...call) => handler.onResponseStart?.(...call),
    onResponseData: (...call) => handler.onResponseData?.(...call),
    onResponseEnd: (...call) => handler.onResponseEnd?.(...call),
    onResponseError: (...call) => handler.onResponseError?.(...call),
  };
}

type GuardedOptions = Dispatcher.DispatchOptions & {
  readonly guard?: StartGuard;
};

/** An interceptor that applies the `guard` of each request's options. */
export const guardStarts: Dispatcher.DispatcherComposeInterceptor =
  dispatch => (options, handler) => {
    const {guard} = options as GuardedOptions;
    if (guard === undefined) return dispatch(options, handler);
    return dispatch(options, guardHandler(guard, handler));
  };
