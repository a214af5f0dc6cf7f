package org.cuminshelf.tools;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.config.ConfigFolder;
import org.cuminshelf.config.ConfigProblem;
import org.cuminshelf.config.MergedConfig;

/** Checks, shows, compares and applies the operators' folder of configuration files. */
final class ConfigCommand implements Command {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ROLLOUT_TIMEOUT_MILLIS = 14_000;
    private static final long POLL_INTERVAL_MILLIS = 200;

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String summary() {
        return "check, show, compare or apply the folder of configuration files";
    }

    @Override
    public void describe(Subparser parser) {
        parser.addArgument("action")
                .choices("check", "show", "diff", "apply")
                .help("check: validate the folder; show: list the merged values; diff: compare the folder with"
                        + " the accepted configuration; apply: submit the folder for acceptance");
        parser.addArgument("folder")
                .nargs("?")
                .setDefault("")
                .help("the folder; if absent, show lists the accepted configuration");
        parser.addArgument("--origin").action(Arguments.storeTrue()).help("show the file behind each value");
        parser.addArgument("--base")
                .setDefault("")
                .help("version that the change is based on; the accepted version if absent");
        parser.addArgument("--wait")
                .action(Arguments.storeTrue())
                .help("wait until the new version is in force everywhere");
        AdminClient.describe(parser);
    }

    @Override
    public int run(Namespace flags) throws Exception {
        String folder = Flags.text(flags, "folder");
        String action = Flags.text(flags, "action");
        if (folder.isEmpty() && action.equals("show")) {
            return showAccepted(flags);
        }
        if (folder.isEmpty()) {
            throw new UsageException("config " + action + ": the folder is missing");
        }
        Either<List<ConfigProblem>, MergedConfig> result =
                ConfigFolder.at(Path.of(folder)).mergeAndValidate();
        if (result.isLeft()) {
            result.getLeft().forEach(problem -> System.err.println(problem));
            return ExitCode.FAILURE;
        }
        MergedConfig merged = result.get();
        return switch (action) {
            case "check" -> {
                System.out.println("The folder is right: " + merged.origins().size() + " values.");
                yield ExitCode.SUCCESS;
            }
            case "show" -> show(merged, flags);
            case "diff" -> diff(merged, flags);
            default -> apply(merged, flags);
        };
    }

    private static int show(MergedConfig merged, Namespace flags) {
        for (String line : merged.lines()) {
            String key = line.substring(0, line.indexOf(" = "));
            boolean showOrigin = Boolean.TRUE.equals(flags.getBoolean("origin"));
            System.out.println(showOrigin ? line + "    # " + merged.origins().get(key) : line);
        }
        return ExitCode.SUCCESS;
    }

    private static int showAccepted(Namespace flags) throws IOException {
        try (AdminClient admin = AdminClient.open(flags)) {
            AdminClient.Answer answer = admin.get("config");
            if (answer.status() != 200) {
                return reportRefusal(answer);
            }
            System.out.println("version = " + answer.body().path("version").asLong());
            flatten(answer.body().path("config")).forEach((key, value) -> System.out.println(key + " = " + value));
            return ExitCode.SUCCESS;
        }
    }

    private static int diff(MergedConfig merged, Namespace flags) throws IOException {
        try (AdminClient admin = AdminClient.open(flags)) {
            AdminClient.Answer answer = admin.get("config");
            if (answer.status() != 200) {
                return reportRefusal(answer);
            }
            System.out.println(
                    "Against version " + answer.body().path("version").asLong() + ":");
            return printDiff(flatten(answer.body().path("config")), flatten(JSON.readTree(merged.canonicalJson())))
                    ? ExitCode.SUCCESS
                    : ExitCode.FAILURE;
        }
    }

    /** Prints the values that differ and returns whether the two configurations are the same. */
    private static boolean printDiff(SortedMap<String, String> accepted, SortedMap<String, String> folder) {
        SortedMap<String, String> allValues = new TreeMap<>(accepted);
        allValues.putAll(folder);
        boolean same = true;
        for (String key : allValues.keySet()) {
            String before = accepted.get(key);
            String after = folder.get(key);
            if (before != null && !before.equals(after)) {
                System.out.println("- " + key + " = " + before);
                same = false;
            }
            if (after != null && !after.equals(before)) {
                System.out.println("+ " + key + " = " + after);
                same = false;
            }
        }
        return same;
    }

    private static int apply(MergedConfig merged, Namespace flags) throws IOException, InterruptedException {
        try (AdminClient admin = AdminClient.open(flags)) {
            String base = Flags.text(flags, "base");
            if (base.isEmpty()) {
                base = admin.get("config").body().path("version").asText("0");
            }
            AdminClient.Answer answer = admin.post("config?base=" + base, merged.canonicalJson());
            if (answer.status() == 409) {
                System.err.println("Version " + answer.body().path("version").asLong()
                        + " was accepted meanwhile; it differs from the folder as follows:");
                printDiff(flatten(answer.body().path("config")), flatten(JSON.readTree(merged.canonicalJson())));
                return ExitCode.FAILURE;
            }
            if (answer.status() != 200) {
                return reportRefusal(answer);
            }
            long version = answer.body().path("version").asLong();
            System.out.println("Accepted as version " + version + ".");
            return Boolean.TRUE.equals(flags.getBoolean("wait")) ? awaitRollout(admin, version) : ExitCode.SUCCESS;
        }
    }

    private static int awaitRollout(AdminClient admin, long version) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        long deadlineNanos = startNanos + ROLLOUT_TIMEOUT_MILLIS * 1_000_000;
        while (System.nanoTime() < deadlineNanos) {
            long lowestVersion =
                    admin.get("status").body().path("lowest_version_in_force").asLong();
            if (lowestVersion >= version) {
                System.out.println(
                        "In force everywhere after " + (System.nanoTime() - startNanos) / 1_000_000 + " ms.");
                return ExitCode.SUCCESS;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        System.err.println("Not in force everywhere after " + ROLLOUT_TIMEOUT_MILLIS + " ms; see cuminshelf status.");
        return ExitCode.FAILURE;
    }

    private static int reportRefusal(AdminClient.Answer answer) {
        System.err.println("Refused with status " + answer.status() + ": "
                + answer.body().path("detail").asText());
        return answer.status() == 503 ? ExitCode.UNAVAILABLE : ExitCode.FAILURE;
    }

    private static SortedMap<String, String> flatten(JsonNode node) {
        SortedMap<String, String> values = new TreeMap<>();
        flatten(node, "", values);
        return values;
    }

    private static void flatten(JsonNode node, String key, SortedMap<String, String> values) {
        if (!node.isObject() || node.isEmpty()) {
            if (!key.isEmpty()) {
                values.put(key, node.toString());
            }
            return;
        }
        node.properties()
                .forEach(field ->
                        flatten(field.getValue(), key.isEmpty() ? field.getKey() : key + "." + field.getKey(), values));
    }
}
