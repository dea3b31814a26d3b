import type {Clock} from '../../../base/common/clock';
import {RepeatLimit} from '../../../base/common/repeat_limit';
import type {Log} from '../../../base/node/log';
import type {JoinReply, JoinRequest} from '../../../schema/generated/consensus';
import type {JoinTransport} from '../../consensus/node/join_requests';

const REPEAT_INTERVAL_MS = 1_000;
/** Upper bound of remembered instances; each new data folder is another one. */
const MAX_INSTANCES = 64;

/** Logs the answer to join requests of each instance when it changes. */
export class JoinAnswerLog {
  private readonly answers = new Map<string, string>();
  private readonly repeats: RepeatLimit;

  constructor(
    private readonly sentence: string,
    clock: Clock,
    private readonly log: Log,
  ) {
    this.repeats = new RepeatLimit(REPEAT_INTERVAL_MS, clock);
  }

  /** Records an answer that another instance gave or got. */
  record(instance: string, {accepted, leaderAddress}: JoinReply): void {
    const answer = `${accepted} ${leaderAddress}`;
    if (this.answers.get(instance) === answer) return;
    // A change that is suppressed here is logged with the next request.
    if (this.repeats.take(instance) === undefined) return;
    this.answers.delete(instance);
    this.answers.set(instance, answer);
    if (this.answers.size > MAX_INSTANCES) {
      const [oldest] = this.answers.keys();
      this.answers.delete(oldest!);
    }
    this.log.info(this.sentence, {instance, accepted, leaderAddress});
  }
}

/** Logs the replies to join requests of this instance. */
export class LoggedJoinTransport implements JoinTransport {
  private readonly answers: JoinAnswerLog;

  constructor(
    private readonly transport: JoinTransport,
    clock: Clock,
    log: Log,
  ) {
    const sentence = 'An instance replied to the join request.';
    this.answers = new JoinAnswerLog(sentence, clock, log);
  }

  join(
    address: string,
    request: JoinRequest,
    onDidReply: (reply: JoinReply) => void,
  ): void {
    this.transport.join(address, request, reply => {
      this.answers.record(address, reply);
      onDidReply(reply);
    });
  }
}
