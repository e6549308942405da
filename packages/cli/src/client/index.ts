export {
  OperatorClient,
  type Answer,
  type ClientError,
} from './operator-client.js';
