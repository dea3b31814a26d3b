import {toError} from '../../base/common/errors';
import type {Log} from '../../base/node/log';
import type {StateMachine} from '../../services/consensus/node/consensus_node';
import {
  ControlMachine,
  emptyControlState,
} from '../../services/control_state/common/control_machine';
import {Command, ControlState} from '../../schema/generated/control';

/** Applies protobuf commands of the replicated log to the control state. */
export class ControlStateMachine implements StateMachine {
  readonly machine = new ControlMachine();

  constructor(private readonly log: Log) {}

  /**
   * Guard: a command that cannot be decoded is skipped, as it would end each
   * instance that applies it.
   */
  apply(index: number, command: Buffer): void {
    let decoded: Command;
    try {
      decoded = Command.decode(command);
    } catch (thrown) {
      const reason = toError(thrown).message;
      this.log.error('Skipped a committed command.', {index, reason});
      return;
    }
    this.machine.apply(index, decoded);
  }

  snapshot(): Buffer {
    return Buffer.from(ControlState.encode(this.machine.state).finish());
  }

  restore(state: Buffer): void {
    const isEmpty = state.length === 0;
    const decoded = isEmpty ? emptyControlState() : ControlState.decode(state);
    this.machine.restore(decoded);
  }
}
