/** Entry point of `npm run report -- --scenario NAME|FILE --policies A,B --seed N --out FILE`. */
import { Cli } from 'clipanion';
import { ReportCommand } from './report-command.js';

const cli = new Cli({ binaryLabel: 'threadfork report', binaryName: 'npm run report --' });
cli.register(ReportCommand);
await cli.runExit(process.argv.slice(2));
