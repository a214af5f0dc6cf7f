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

/** Flags that may also be given by an environment variable; the flag goes before the variable. */
final class Flags {

    private static final String PREFIX = "CUMINSHELF_";

    private Flags() {}

    /** Adds a flag; its default stands in its help. */
    static void add(Subparser parser, String name, String help, String defaultValue) {
        Argument argument = parser.addArgument("--" + name).help(help + variableHelp(name, defaultValue));
        argument.dest(name);
        Optional.ofNullable(System.getenv(variable(name)))
                .ifPresentOrElse(argument::setDefault, () -> argument.setDefault(defaultValue));
    }

    /** Adds a flag that must be given. */
    static void addRequired(Subparser parser, String name, String help) {
        Argument argument = parser.addArgument("--" + name).help(help + variableHelp(name, ""));
        argument.dest(name);
        Optional<String> fromEnvironment = Optional.ofNullable(System.getenv(variable(name)));
        fromEnvironment.ifPresent(argument::setDefault);
        argument.required(fromEnvironment.isEmpty());
    }

    /** Adds a switch. */
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

    static long number(Namespace flags, String name, long least, long most) throws UsageException {
        String value = text(flags, name);
        try {
            long number = Long.parseLong(value);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below, with the same words as a number out of range.
        }
        throw new UsageException("--" + name + " = " + value + ": give a whole number from " + least + " to " + most);
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
            throw new UsageException("--" + name + " = " + value + ": give an IP number and a port, as 127.0.0.1:7000");
        }
        return Address.of(value);
    }

    private static String variable(String name) {
        return PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static String variableHelp(String name, String defaultValue) {
        String shown = defaultValue.isEmpty() ? "" : ", default " + defaultValue;
        return " [" + variable(name) + shown + "]";
    }
}
