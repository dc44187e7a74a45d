/** The listeners for readiness checks and for metrics. */
import http, { type Server } from 'node:http';
import type { GatewayMetrics } from './gateway-metrics.js';

/** Answers 200 while the gateway is ready and 503 otherwise. */
export function createReadinessServer(path: string, isReady: () => boolean): Server {
  return http.createServer((request, response) => {
    if (request.url !== path) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(isReady() ? 200 : 503, { 'Content-Length': 0 }).end();
  });
}

/** Serves metrics in the Prometheus text format on any path. */
export function createMetricsServer(metrics: GatewayMetrics): Server {
  return http.createServer((_request, response) => {
    metrics.text().then(
      (text) => response.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4' }).end(text),
      () => response.writeHead(500).end(),
    );
  });
}
