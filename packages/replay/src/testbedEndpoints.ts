import type { Deployment } from './deployments';
import { STANDINS_PROGRAM } from './paths';
import type { Launcher, Program } from './programs';
import { openLink } from './testbedControl';
import type { ControlClient } from './testbedControl';

/** A running model engine or server of the plain service. */
export interface TestbedEndpoint {
  name: string;
  site: string;
  kind: 'engine' | 'service';
  program: Program;
  /** URL without the proxy, at which the replay reads the endpoint's record. */
  url: string;
  /** Address at which instances reach it. */
  address: string;
}

/** Settings of the endpoints of a testbed. */
export interface EndpointOptions {
  /** Extra arguments of every engine. */
  engineArgs?: string[];
  /** Whether instances reach endpoints without the proxy, which would distort measurements. */
  isDirect?: boolean;
}

/** Starts the model engines and plain services of all sites, each behind a link of its own. */
export async function startEndpoints(
  launcher: Launcher,
  control: ControlClient,
  deployment: Deployment,
  options: EndpointOptions,
): Promise<TestbedEndpoint[]> {
  const starting = deployment.sites.flatMap((site) => {
    const startEndpoint = async (
      kind: TestbedEndpoint['kind'],
      index: number,
    ): Promise<TestbedEndpoint> => {
      const name = `${site.name}-${kind}-${index + 1}`;
      const program = await launcher.start(name, STANDINS_PROGRAM, [
        kind,
        ...(kind === 'engine' ? (options.engineArgs ?? []) : []),
      ]);
      const target = String(program.listening.address);
      const link = await openLink(control, site.name, target);
      const address = options.isDirect ? target : link.address;
      return { name, site: site.name, kind, program, url: `http://${target}`, address };
    };
    const engines = Array.from({ length: site.engines }, (_, index) =>
      startEndpoint('engine', index),
    );
    const services = Array.from({ length: site.services }, (_, index) =>
      startEndpoint('service', index),
    );
    return [...engines, ...services];
  });
  return Promise.all(starting);
}
