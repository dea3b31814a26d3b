import {beforeAll, describe, expect, it} from 'vitest';
import {Classifier} from '../../common/classifier';
import {PostgresGrammar} from '../../node/postgres_grammar';

let classifier: Classifier;
beforeAll(async () => {
  classifier = new Classifier(await PostgresGrammar.load());
});

const kinds = (text: string) =>
  classifier.classify(text).statements.map(({kind}) => kind);

describe('what a statement is', () => {
  it('takes for a read only what provably changes nothing', () => {
    expect(kinds('SELECT a, count(*) FROM t WHERE b = $1')).toEqual(['read']);
    expect(kinds('SELECT a FROM t FOR UPDATE')).toEqual(['write']);
    expect(kinds('SELECT a INTO u FROM t')).toEqual(['write']);
    expect(kinds("SELECT nextval('s')")).toEqual(['write']);
    expect(kinds('SELECT own_function(a) FROM t')).toEqual(['write']);
    expect(
      kinds('WITH d AS (DELETE FROM t RETURNING a) SELECT * FROM d'),
    ).toEqual(['write']);
    expect(kinds('this is no sql')).toEqual(['write']);
  });

  // State that a session leaves on a shared connection reaches whoever uses
  // it next: a lock that nobody releases, a notice that nobody expects.
  it('refuses what would stay behind on a connection', () => {
    for (const text of [
      'SELECT pg_advisory_lock(1)',
      'LISTEN news',
      'PREPARE p AS SELECT 1',
      'CREATE TEMP TABLE t (a int)',
      'DECLARE c CURSOR WITH HOLD FOR SELECT 1',
      'COPY t FROM STDIN',
      "PREPARE TRANSACTION 'x'",
      'SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY',
    ]) {
      expect(kinds(text), text).toEqual(['unsupported']);
    }
  });

  it('tells transactions and settings apart', () => {
    expect(kinds('BEGIN; COMMIT; ROLLBACK')).toEqual([
      'begin',
      'commit',
      'rollback',
    ]);
    const [begin] = classifier.classify('BEGIN READ ONLY').statements;
    expect(begin).toEqual({kind: 'begin', readOnly: true});
    const [set] = classifier.classify("SET LOCAL a.b = 'c'").statements;
    expect(set).toEqual({kind: 'set', name: 'a.b', value: 'c', local: true});
  });
});
