export {
  OperatorClient,
  type OperatorResponse,
  type ClientError,
} from './operator-client.js';
