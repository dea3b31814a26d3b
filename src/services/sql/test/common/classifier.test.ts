import {beforeAll, describe, expect, it} from 'vitest';
import {Classifier} from '../../common/classifier';
import {PostgresGrammar} from '../../node/postgres_grammar';

let classifier: Classifier;
beforeAll(async () => {
  classifier = new Classifier(await PostgresGrammar.load());
});

const kindsOf = (text: string) =>
  classifier.classify(text).statements.map(({kind}) => kind);

describe('the classifier', () => {
  it('classifies as a read only what is known to change nothing', () => {
    expect(kindsOf('SELECT a, count(*) FROM t WHERE b = $1')).toEqual(['read']);
    expect(kindsOf('SELECT a FROM t FOR UPDATE')).toEqual(['write']);
    expect(kindsOf('SELECT a INTO u FROM t')).toEqual(['write']);
    expect(kindsOf("SELECT nextval('s')")).toEqual(['write']);
    expect(kindsOf('SELECT own_function(a) FROM t')).toEqual(['write']);
    expect(
      kindsOf('WITH d AS (DELETE FROM t RETURNING a) SELECT * FROM d'),
    ).toEqual(['write']);
    expect(kindsOf('this is no sql')).toEqual(['write']);
  });

  // State left on a shared connection affects the next session that uses it.
  it('refuses statements that leave state on a connection', () => {
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
      expect(kindsOf(text), text).toEqual(['unsupported']);
    }
  });

  it('classifies transactions and settings', () => {
    expect(kindsOf('BEGIN; COMMIT; ROLLBACK')).toEqual([
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
