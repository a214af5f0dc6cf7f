package org.cuminshelf.tools;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.core.Address;

/** Flags that can also be set by an environment variable; the flag takes precedence over the variable. */
final class Flags {

    private static final String VARIABLE_PREFIX = "CUMINSHELF_";

    private Flags() {}

    /** Adds a flag whose help text shows its variable and its default value. */
    static void add(Subparser parser, String name, String help, String defaultValue) {
        Argument argument = parser.addArgument("--" + name).help(help + variableHelp(name, defaultValue));
        argument.dest(name);
        Optional.ofNullable(System.getenv(variable(name)))
                .ifPresentOrElse(argument::setDefault, () -> argument.setDefault(defaultValue));
    }

    /** Adds a flag that must be given unless its environment variable is set. */
    static void addRequired(Subparser parser, String name, String help) {
        Argument argument = parser.addArgument("--" + name).help(help + variableHelp(name, ""));
        argument.dest(name);
        Optional<String> fromEnvironment = Optional.ofNullable(System.getenv(variable(name)));
        fromEnvironment.ifPresent(argument::setDefault);
        argument.required(fromEnvironment.isEmpty());
    }

    /** Adds a flag without a value. */
    static void addSwitch(Subparser parser, String name, String help) {
        parser.addArgument("--" + name)
                .help(help + variableHelp(name, ""))
                .dest(name)
                .action(Arguments.storeTrue())
                .setDefault(Boolean.parseBoolean(System.getenv(variable(name))));
    }

    static String text(Namespace flags, String name) {
        return Optional.ofNullable(flags.getString(name)).orElse("");
    }

    static Optional<String> optional(Namespace flags, String name) {
        return Optional.of(text(flags, name)).filter(value -> !value.isEmpty());
    }

    static Optional<Path> path(Namespace flags, String name) {
        return optional(flags, name).map(Path::of);
    }

    static boolean isOn(Namespace flags, String name) {
        return Boolean.TRUE.equals(flags.getBoolean(name));
    }

    static long number(Namespace flags, String name, long min, long max) throws UsageException {
        String value = text(flags, name);
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below with the same message as a number out of range.
        }
        throw new UsageException("--" + name + " = " + value + ": give an integer from " + min + " to " + max);
    }

    static Address address(Namespace flags, String name) throws UsageException {
        return address(name, text(flags, name));
    }

    static List<Address> addresses(Namespace flags, String name) throws UsageException {
        java.util.ArrayList<Address> addresses = new java.util.ArrayList<>();
        for (String part : list(flags, name)) {
            addresses.add(address(name, part));
        }
        return addresses;
    }

    static List<String> list(Namespace flags, String name) {
        return Arrays.stream(text(flags, name).split(","))
                .map(String::trim)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    static Address address(String name, String value) throws UsageException {
        if (!value.matches("[0-9a-fA-F.:\\[\\]]+:\\d{1,5}")) {
            throw new UsageException(
                    "--" + name + " = " + value + ": give an IP address and a port, such as 127.0.0.1:7000");
        }
        return Address.of(value);
    }

    private static String variable(String name) {
        return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static String variableHelp(String name, String defaultValue) {
        String defaultHelp = defaultValue.isEmpty() ? "" : ", default " + defaultValue;
        return " [" + variable(name) + defaultHelp + "]";
    }
}
