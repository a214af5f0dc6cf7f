package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * The whole configuration of a fleet.
 *
 * @param services      plain services (without a model) by name
 * @param models        models by name
 * @param events        scheduled events by name
 * @param organisations limits by organisation name
 * @param planning      planning of engine roles
 * @param teams         operator teams by name
 */
public record FleetConfig(
        SortedMap<String, ServiceConfig> services,
        SortedMap<String, ModelConfig> models,
        SortedMap<String, EventConfig> events,
        SortedMap<String, OrganisationConfig> organisations,
        PlanningConfig planning,
        SortedMap<String, TeamConfig> teams) {

    /** Key of the limits for organisations without an entry of their own. */
    public static final String DEFAULT_ORGANISATION = "default";

    private static final int MAX_PRIORITY = 9;
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final PlanningConfig DEFAULT_PLANNING = new PlanningConfig(
            Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

    /**
     * Creates a configuration. Absent maps become empty ones, and absent planning the default.
     *
     * @param services      plain services (without a model) by name, or null
     * @param models        models by name, or null
     * @param events        scheduled events by name, or null
     * @param organisations limits by organisation name, or null
     * @param planning      planning of engine roles, or null
     * @param teams         operator teams by name, or null
     */
    public FleetConfig(
            @JsonProperty("services") SortedMap<String, ServiceConfig> services,
            @JsonProperty("models") SortedMap<String, ModelConfig> models,
            @JsonProperty("events") SortedMap<String, EventConfig> events,
            @JsonProperty("organisations") SortedMap<String, OrganisationConfig> organisations,
            @JsonProperty("planning") PlanningConfig planning,
            @JsonProperty("teams") SortedMap<String, TeamConfig> teams) {
        this.services = services == null ? new TreeMap<>() : services;
        this.models = models == null ? new TreeMap<>() : models;
        this.events = events == null ? new TreeMap<>() : events;
        this.organisations = organisations == null ? new TreeMap<>() : organisations;
        this.planning = planning == null ? DEFAULT_PLANNING : planning;
        this.teams = teams == null ? new TreeMap<>() : teams;
    }

    /**
     * Returns the configuration in force before any was accepted: no service and no model.
     *
     * @return the empty configuration
     */
    public static FleetConfig empty() {
        return new FleetConfig(null, null, null, null, null, null);
    }

    /**
     * Parses and validates a configuration in the canonical form, in which it is accepted and distributed.
     *
     * @param canonical JSON in UTF-8; empty for the empty configuration
     * @return the configuration, or the first problem that makes it invalid
     */
    public static Either<String, FleetConfig> parse(byte[] canonical) {
        if (canonical.length == 0) {
            return Either.right(empty());
        }
        try {
            FleetConfig config = ConfigMapper.json().readValue(canonical, FleetConfig.class);
            List<ConfigProblem> problems = config.validate(Map.of());
            return problems.isEmpty()
                    ? Either.right(config)
                    : Either.left(problems.getFirst().toString());
        } catch (JsonProcessingException e) {
            return Either.left(e.getOriginalMessage());
        } catch (IOException e) {
            return Either.left(e.toString());
        }
    }

    /**
     * Returns the limits of an organisation: its own, or else those of {@link #DEFAULT_ORGANISATION}.
     *
     * @param name name of the organisation
     * @return the limits; empty if there are neither
     */
    public Optional<OrganisationConfig> organisation(String name) {
        OrganisationConfig own = organisations.get(name);
        return Optional.ofNullable(own != null ? own : organisations.get(DEFAULT_ORGANISATION));
    }

    /**
     * Finds problems that binding to the types does not: references to unknown names, and values out of range.
     *
     * @param origins file by key, to name the file of each problem; may be empty
     * @return the problems; empty if the configuration is valid
     */
    public List<ConfigProblem> validate(Map<String, String> origins) {
        ProblemCollector problems = new ProblemCollector(origins);
        events.forEach((name, event) -> checkEvent(problems, "events." + name, event));
        organisations.forEach((name, limits) -> checkOrganisation(problems, "organisations." + name, limits));
        teams.forEach((name, team) -> problems.require(
                SHA256_HEX.matcher(team.keySha256()).matches(),
                "teams." + name + ".key-sha256",
                team.keySha256(),
                "write the SHA-256 of the key as 64 lower-case hexadecimal digits"));
        planning.roleChangeWeight()
                .ifPresent(weight -> problems.require(
                        weight >= 0, "planning.role-change-weight", weight, "give a number of 0 or more"));
        models.forEach((name, model) -> checkModel(problems, "models." + name, model));
        return problems.list;
    }

    private void checkEvent(ProblemCollector problems, String key, EventConfig event) {
        for (String service : event.services().orElse(List.of())) {
            problems.require(
                    services.containsKey(service), key + ".services", service, "name a service of this configuration");
        }
        for (String model : event.models().orElse(List.of())) {
            problems.require(models.containsKey(model), key + ".models", model, "name a model of this configuration");
        }
        checkPriority(problems, key, event.priority());
        event.prefill()
                .ifPresent(share -> problems.require(
                        share >= 0 && share <= 1, key + ".prefill", share, "give a share between 0 and 1"));
        event.engines()
                .ifPresent(engines ->
                        problems.require(engines >= 0, key + ".engines", engines, "give a number of 0 or more"));
    }

    private static void checkOrganisation(ProblemCollector problems, String key, OrganisationConfig limits) {
        checkPriority(problems, key, limits.priority());
        limits.requestsPerSecond()
                .ifPresent(rate -> problems.require(
                        rate > 0, key + ".requests-per-second", rate, "give a number above 0, or leave the key out"));
        limits.weight()
                .ifPresent(weight -> problems.require(weight > 0, key + ".weight", weight, "give a number above 0"));
    }

    private static void checkModel(ProblemCollector problems, String key, ModelConfig model) {
        problems.require(
                model.maxContextTokens() > 0,
                key + ".context-tokens",
                model.maxContextTokens(),
                "give a number above 0");
        problems.require(
                model.initialPrefillTokensPerSecond() > 0,
                key + ".prefill-per-second",
                model.initialPrefillTokensPerSecond(),
                "give a number above 0");
        problems.require(
                model.initialDecodeTokensPerSecond() > 0,
                key + ".decode-per-second",
                model.initialDecodeTokensPerSecond(),
                "give a number above 0");
    }

    private static void checkPriority(ProblemCollector problems, String key, Optional<Integer> priority) {
        priority.ifPresent(value -> problems.require(
                value >= 0 && value <= MAX_PRIORITY, key + ".priority", value, "give a number from 0 to 9"));
    }

    /** Collects problems with the file of each. */
    private static final class ProblemCollector {

        private final Map<String, String> origins;
        private final List<ConfigProblem> list = new ArrayList<>();

        private ProblemCollector(Map<String, String> origins) {
            this.origins = origins;
        }

        private void require(boolean holds, String key, Object value, String cure) {
            if (!holds) {
                list.add(new ConfigProblem(MergedConfig.originOf(origins, key), key, String.valueOf(value), cure));
            }
        }
    }
}
