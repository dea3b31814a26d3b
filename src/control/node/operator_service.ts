import type {sendUnaryData, ServerUnaryCall} from '@grpc/grpc-js';
import type {ConsensusNode} from '../../services/consensus/node/consensus_node';
import type {ControlMachine} from '../../services/control_state/common/control_machine';
import type {
  ApplyRequest,
  ChangeOutcome,
  Command,
  ControlServer,
  DrainRequest,
  ForceRequest,
  OperatorReply,
  ProxyMessage,
  ProxyRecord,
  StatusReply,
} from '../../schema/generated/control';
import type {Leadership} from './leadership';
import type {SettingsInForce} from './settings_in_force';

/** What the service answers from. */
export interface OperatorSurroundings {
  readonly instance: string;
  readonly machine: ControlMachine;
  readonly node: ConsensusNode;
  readonly settings: SettingsInForce;
  /** The leadership of this instance, while it leads. */
  leadership(): Leadership | undefined;
  leaderAddress(): string;
  now(): number;
}

type Respond<T> = sendUnaryData<T>;
type Body = NonNullable<Command['body']>;

/** The gRPC service of control towards proxies and operators. */
export class OperatorService {
  constructor(private readonly around: OperatorSurroundings) {}

  get handlers(): ControlServer {
    return {
      attach: stream => this.attach(stream),
      apply: (call, respond) => void this.apply(call, respond),
      drain: (call, respond) => void this.drain(call, respond),
      status: (...[, respond]) => void this.status(respond),
      force: (call, respond) => this.force(call, respond),
    };
  }

  private attach(stream: Parameters<ControlServer['attach']>[0]): void {
    let proxy: ProxyRecord | undefined;
    stream.on('data', ({body}: ProxyMessage) => {
      const leadership = this.around.leadership();
      if (!leadership) {
        const leaderAddress = this.around.leaderAddress();
        const value = {leaderAddress};
        stream.write({body: {$case: 'notLeader', value}});
        stream.end();
        return;
      }
      if (body?.$case === 'hello' && body.value.proxy) {
        proxy = body.value.proxy;
        leadership.attachments.attach(proxy, stream);
      }
      if (body?.$case === 'ask' && proxy) {
        void leadership.attachments.onAsk(proxy, body.value);
      }
    });
    stream.on('error', () => stream.end());
  }

  private async apply(
    call: ServerUnaryCall<ApplyRequest, OperatorReply>,
    respond: Respond<OperatorReply>,
  ): Promise<void> {
    const change = call.request.change!;
    const known = this.around.machine.outcomeOf(change.changeId);
    const faults = known ? '' : this.around.settings.faultsOf(change.text);
    if (faults !== '') return respond(null, this.refused(faults));
    const body: Body = {$case: 'applySettings', value: change};
    await this.decide(change.changeId, body, respond);
  }

  private async drain(
    call: ServerUnaryCall<DrainRequest, OperatorReply>,
    respond: Respond<OperatorReply>,
  ): Promise<void> {
    const change = call.request.change!;
    const body: Body = {$case: 'setDrain', value: change};
    await this.decide(change.changeId, body, respond);
  }

  /**
   * Puts a change into the log and answers with what it came to. The log has
   * the outcome of a change that was sent before, so asking again is safe.
   */
  private async decide(
    changeId: string,
    body: Body,
    respond: Respond<OperatorReply>,
  ): Promise<void> {
    const leadership = this.around.leadership();
    if (!leadership) return respond(null, this.notLeader());
    const proposed = await leadership.log.propose(body);
    if (proposed.isErr) return respond(null, this.notLeader());
    const outcome = this.around.machine.outcomeOf(changeId);
    respond(null, {outcome, notLeader: false, leaderAddress: ''});
  }

  private async status(respond: Respond<StatusReply>): Promise<void> {
    const {node, machine, instance} = this.around;
    const {core} = node;
    const confirmed = await node.confirmLeadership();
    const leadership = this.around.leadership();
    const now = this.around.now();
    respond(null, {
      instance,
      leader: confirmed.isOk,
      leaderAddress: this.around.leaderAddress(),
      consensusTerm: core.currentTerm,
      commitIndex: core.commitIndex,
      configuration: core.configuration,
      state: machine.state,
      proxies: machine.state.proxies.map(proxy => ({
        instance: proxy.instance,
        site: '',
        attached: leadership?.leases.isAttached(proxy, now) ?? false,
        settingsVersion: leadership?.leases.settingsVersionOf(proxy) ?? 0,
      })),
    });
  }

  private force(
    call: ServerUnaryCall<ForceRequest, OperatorReply>,
    respond: Respond<OperatorReply>,
  ): void {
    const leadership = this.around.leadership();
    if (!leadership) return respond(null, this.notLeader());
    const accepted = leadership.force(call.request.service);
    const outcome = this.outcome(accepted, accepted ? '' : 'no such service');
    respond(null, {outcome, notLeader: false, leaderAddress: ''});
  }

  private refused(detail: string): OperatorReply {
    const outcome = this.outcome(false, detail);
    return {outcome, notLeader: false, leaderAddress: ''};
  }

  private outcome(accepted: boolean, detail: string): ChangeOutcome {
    const version = this.around.machine.state.settingsVersion;
    return {accepted, version, winnerChangeId: '', detail};
  }

  private notLeader(): OperatorReply {
    const leaderAddress = this.around.leaderAddress();
    return {outcome: undefined, notLeader: true, leaderAddress};
  }
}
