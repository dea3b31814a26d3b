/** Outcomes as values: the project's one import of true-myth. */
export {Result, ok, err} from 'true-myth/result';
