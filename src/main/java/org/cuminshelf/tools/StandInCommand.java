package org.cuminshelf.tools;

import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.core.Address;
import org.cuminshelf.standin.EngineSpeed;
import org.cuminshelf.standin.StandInEngine;
import org.cuminshelf.standin.StandInService;

/** Runs a stand-in for a model engine or a plain service. */
final class StandInCommand implements Command {

    @Override
    public String name() {
        return "stand-in";
    }

    @Override
    public String summary() {
        return "run a stand-in engine or plain service, to try the system without real upstreams";
    }

    @Override
    public void describe(Subparser parser) {
        Flags.addRequired(parser, "at", "IP address and port to listen on");
        Flags.add(parser, "kind", "kind of upstream: engine or service", "engine");
        Flags.add(parser, "models", "models that the engine has loaded, separated by commas", "cataloguer");
        Flags.add(parser, "speed", "speed of the engine: usual or instant", "usual");
        Flags.add(parser, "delay-ms", "processing time of the service in milliseconds", "0");
        Flags.addSwitch(parser, "checks-fence", "the engine refuses orders with an old fencing token");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        Address listenAddress = Flags.address(flags, "at");
        AutoCloseable standIn = switch (Flags.text(flags, "kind")) {
            case "engine" ->
                StandInEngine.start(
                        listenAddress, speed(flags), Flags.isOn(flags, "checks-fence"), Flags.list(flags, "models"));
            case "service" -> StandInService.start(listenAddress, Flags.number(flags, "delay-ms", 0, 60_000));
            default -> throw new UsageException("--kind = " + Flags.text(flags, "kind") + ": give engine or service");
        };
        CountDownLatch stopped = new CountDownLatch(1);
        Signals.onStop(stopped::countDown);
        stopped.await();
        standIn.close();
        return ExitCode.SUCCESS;
    }

    private static EngineSpeed speed(Namespace flags) throws UsageException {
        return switch (Flags.text(flags, "speed")) {
            case "usual" -> EngineSpeed.usual();
            case "instant" -> EngineSpeed.instant();
            default -> throw new UsageException("--speed = " + Flags.text(flags, "speed") + ": give usual or instant");
        };
    }
}
