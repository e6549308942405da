/** Maps refusals of the scheduler to error responses for callers. */
import {notRun, type ApiError} from '../http/index.js';
import type {AdmissionError} from '../scheduler/index.js';

const RETRY_AFTER_S = 2;

export function toApiError(error: AdmissionError): ApiError {
  switch (error.kind) {
    case 'queue_full':
      return notRun(
        429,
        'queue_full',
        'the queue of this service is full',
        RETRY_AFTER_S,
      );
    case 'workspace_queue_full':
      return notRun(
        429,
        'workspace_queue_full',
        'this workspace has too many requests waiting',
        RETRY_AFTER_S,
      );
    case 'waited_too_long':
      return notRun(
        503,
        'no_capacity',
        `no target had free capacity within ${error.waitedMs} ms`,
        RETRY_AFTER_S,
      );
    case 'no_view_lease':
      return notRun(
        503,
        'no_view_lease',
        'this entry cannot prove that its configuration is current',
        RETRY_AFTER_S,
      );
    case 'quarantined':
      return notRun(
        422,
        'quarantined',
        'targets crashed while running this request; it is refused for a while',
      );
    case 'caller_left':
      return notRun(499, 'caller_left', 'the caller closed the connection');
  }
}
