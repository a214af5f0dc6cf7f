package org.cuminshelf.tools;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.cuminshelf.platform.PlatformCommand;
import org.cuminshelf.process.ProcessStart;

/** The entry point of all processes and operator commands; the first argument names the command. */
public final class Main {

    private static final List<Command> COMMANDS = List.of(
            new StandaloneCommand(),
            new EntryCommand(),
            new SidecarCommand(),
            new ControlCommand(),
            new StandInCommand(),
            new ConfigCommand(),
            new StatusCommand(),
            new EventCommand(),
            new CheckCommand(),
            new BenchCommand(),
            new ExperimentCommand(),
            OrderCommand.order(),
            OrderCommand.drain(),
            QuarantineCommand.create(),
            PlatformCommand.create());

    private Main() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param arguments the command and its flags
     */
    public static void main(String[] arguments) {
        ProcessStart.recordStartTime();
        System.exit(run(arguments));
    }

    /**
     * Runs a command.
     *
     * @param arguments the command and its flags
     * @return the exit code
     */
    static int run(String... arguments) {
        ArgumentParser parser = ArgumentParsers.newFor("cuminshelf")
                .build()
                .description("A serving system for language models and plain services on a fixed fleet of VMs.");
        Subparsers subparsers =
                parser.addSubparsers().title("commands").dest("command").metavar("COMMAND");
        Map<String, Command> commandsByName = new LinkedHashMap<>();
        for (Command command : COMMANDS) {
            Subparser subparser = subparsers.addParser(command.name()).help(command.summary());
            command.describe(subparser.description(command.summary()));
            commandsByName.put(command.name(), command);
        }
        try {
            Namespace flags = parser.parseArgs(arguments);
            return commandsByName.get(flags.getString("command")).run(flags);
        } catch (HelpScreenException e) {
            return ExitCode.SUCCESS;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitCode.USAGE;
        } catch (UsageException e) {
            System.err.println("cuminshelf: " + e.getMessage());
            return ExitCode.USAGE;
        } catch (IOException e) {
            System.err.println("cuminshelf: " + e.getMessage());
            return e.getMessage() != null && e.getMessage().startsWith("no administration")
                    ? ExitCode.UNAVAILABLE
                    : ExitCode.IO_ERROR;
        } catch (Exception e) {
            org.tinylog.Logger.error(e, "process: The command failed.");
            return ExitCode.FAILURE;
        }
    }
}
