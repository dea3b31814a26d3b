/** Results as values, for errors that callers handle. */
export {Result, ok, err} from 'true-myth/result';
