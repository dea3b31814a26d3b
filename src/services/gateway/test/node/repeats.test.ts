import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {ClassAdmission} from '../../../admission/common/class_admission';
import {GatewayMeter} from '../../node/gateway_meter';
import {RequestTelemetry} from '../../node/request_telemetry';
import {canRetry} from '../../node/session_context';
import {makeLog} from './session_fixture';

describe('a repeat by class', () => {
  it('needs no budget where a member sends it on', () => {
    // Replicas lag for some seconds, and members are busy besides. Reads that a
    // lagging one sends on were refused once the busy ones had used the budget
    // up, though another member could serve them.
    const classes = new ClassAdmission(new ManualClock());
    classes.setRoutes([0, 2].map(priority => ({service: 'books', priority})));
    const {log, lines} = makeLog();
    const journal = new RequestTelemetry(log, new GatewayMeter());
    const tryAgain = (cause: string) => {
      return canRetry({classes, telemetry: journal}, 'q1', 'books', cause);
    };
    while (tryAgain('busy'));
    expect(lines).toHaveLength(1);
    expect(['lagging', 'not primary'].map(tryAgain)).toEqual([true, true]);
    expect(tryAgain('no answer')).toBe(false);
  });
});
