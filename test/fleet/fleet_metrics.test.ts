import {expect, test} from 'vitest';
import {createFleetMetrics} from '../../packages/fleet/src/entry/fleet_metrics';

test('counts attempts whose connection was lost, by route', async () => {
  const metrics = createFleetMetrics();
  metrics.countLostAttempt('notes');
  const lines = (await metrics.text()).split('\n');
  expect(lines).toContain('hibiscusbeam_lost_sends_total{route="notes"} 1');
});

test('counts silences of targets that run a request, by route', async () => {
  const metrics = createFleetMetrics();
  metrics.countSilence('notes');
  const lines = (await metrics.text()).split('\n');
  expect(lines).toContain('hibiscusbeam_silences_total{route="notes"} 1');
});

test('records how late the event loop ran its timers', async () => {
  const metrics = createFleetMetrics();
  metrics.observeLoopDelay(30);
  const lines = (await metrics.text()).split('\n');
  const bucket = 'hibiscusbeam_loop_delay_milliseconds_bucket';
  expect(lines).toContain(`${bucket}{le="20"} 0`);
  expect(lines).toContain(`${bucket}{le="50"} 1`);
});

test('counts answers in which a target set a rate limit, by service', async () => {
  const metrics = createFleetMetrics();
  metrics.countLimitedAnswer('engines');
  const lines = (await metrics.text()).split('\n');
  expect(lines).toContain(
    'hibiscusbeam_limited_answers_total{service="engines"} 1',
  );
});

test('counts answers in which a target reported that it is leaving, by service', async () => {
  const metrics = createFleetMetrics();
  metrics.countLeavingAnswer('engines');
  const lines = (await metrics.text()).split('\n');
  expect(lines).toContain(
    'hibiscusbeam_leaving_answers_total{service="engines"} 1',
  );
});

test('counts answers in which a target requested a backoff, by service', async () => {
  const metrics = createFleetMetrics();
  metrics.countBackoffAnswer('engines');
  const lines = (await metrics.text()).split('\n');
  expect(lines).toContain(
    'hibiscusbeam_backoff_answers_total{service="engines"} 1',
  );
});

test('records the age of the readings that requests were decided by', async () => {
  const metrics = createFleetMetrics();
  metrics.observeReadingAge('targets', 2_700);
  metrics.observeReadingAge('configuration', 90);
  const lines = (await metrics.text()).split('\n');
  const bucket = (table: string, most: number): string =>
    `hibiscusbeam_reading_age_milliseconds_bucket{le="${most}",table="${table}"}`;
  expect(lines).toContain(`${bucket('targets', 2_500)} 0`);
  expect(lines).toContain(`${bucket('targets', 3_000)} 1`);
  expect(lines).toContain(`${bucket('configuration', 250)} 1`);
});

test('shows the zones that are evacuated, and drops those that no longer are', async () => {
  const metrics = createFleetMetrics();
  metrics.setEvacuatedZones([{zone: 'south', revision: 7}]);
  metrics.setEvacuatedZones([{zone: 'west', revision: 9}]);
  const lines = (await metrics.text()).split('\n');
  const shown = lines.filter(line => line.includes('_zone_revision{'));
  expect(shown).toEqual([
    'hibiscusbeam_evacuated_zone_revision{zone="west"} 9',
  ]);
});

test('shows how many targets are cold, by service', async () => {
  const metrics = createFleetMetrics();
  const cold = {service: 'engines', until: 1};
  metrics.setColdTargets([
    {...cold, instance: 'one'},
    {...cold, instance: 'two'},
  ]);
  const lines = (await metrics.text()).split('\n');
  expect(lines).toContain('hibiscusbeam_cold_targets{service="engines"} 2');
});
