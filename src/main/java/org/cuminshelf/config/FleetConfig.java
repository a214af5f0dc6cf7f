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
 * The whole configuration of a fleet, typed and checked.
 *
 * @param services      plain services by name
 * @param models        models by name
 * @param events        events by name
 * @param organisations limits by organisation
 * @param planning      how roles are planned
 * @param teams         operators' teams by name
 */
public record FleetConfig(
        SortedMap<String, ServiceConfig> services,
        SortedMap<String, ModelConfig> models,
        SortedMap<String, EventConfig> events,
        SortedMap<String, OrganisationConfig> organisations,
        PlanningConfig planning,
        SortedMap<String, TeamConfig> teams) {

    /** Name under which the limits of organisations without their own stand. */
    public static final String DEFAULT_ORGANISATION = "default";

    private static final int HIGHEST_PRIORITY = 9;
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final PlanningConfig NO_PLANNING = new PlanningConfig(
            Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

    /**
     * Fills in what is absent.
     *
     * @param services      plain services by name
     * @param models        models by name
     * @param events        events by name
     * @param organisations limits by organisation
     * @param planning      how roles are planned
     * @param teams         operators' teams by name
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
        this.planning = planning == null ? NO_PLANNING : planning;
        this.teams = teams == null ? new TreeMap<>() : teams;
    }

    /**
     * The configuration before any was accepted: nothing is served.
     *
     * @return the empty configuration
     */
    public static FleetConfig empty() {
        return new FleetConfig(null, null, null, null, null, null);
    }

    /**
     * Reads a configuration from its canonical form, as it is accepted and spread.
     *
     * @param canonical JSON in UTF-8
     * @return the configuration, or what is wrong with it
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
     * The limits of an organisation, its own or the default.
     *
     * @param name the organisation
     * @return the limits, or nothing where neither stands
     */
    public Optional<OrganisationConfig> organisation(String name) {
        OrganisationConfig own = organisations.get(name);
        return Optional.ofNullable(own != null ? own : organisations.get(DEFAULT_ORGANISATION));
    }

    /**
     * Finds what the types alone can't: references to names that don't exist and values out of range.
     *
     * @param origins file by key, to name the file at fault; may be empty
     * @return the problems
     */
    public List<ConfigProblem> validate(Map<String, String> origins) {
        ProblemList list = new ProblemList(origins);
        events.forEach((name, event) -> checkEvent(list, "events." + name, event));
        organisations.forEach((name, limits) -> checkOrganisation(list, "organisations." + name, limits));
        teams.forEach((name, team) -> list.require(
                SHA256.matcher(team.keySha256()).matches(),
                "teams." + name + ".key-sha256",
                team.keySha256(),
                "write the SHA-256 of the key as 64 lower-case hexadecimal digits"));
        planning.roleChangeWeight()
                .ifPresent(weight ->
                        list.require(weight >= 0, "planning.role-change-weight", weight, "give a number of 0 or more"));
        models.forEach((name, model) -> checkModel(list, "models." + name, model));
        return list.problems;
    }

    private void checkEvent(ProblemList list, String key, EventConfig event) {
        for (String service : event.services().orElse(List.of())) {
            list.require(
                    services.containsKey(service), key + ".services", service, "name a service of this configuration");
        }
        for (String model : event.models().orElse(List.of())) {
            list.require(models.containsKey(model), key + ".models", model, "name a model of this configuration");
        }
        checkPriority(list, key, event.priority());
        event.prefill()
                .ifPresent(share -> list.require(
                        share >= 0 && share <= 1, key + ".prefill", share, "give a share between 0 and 1"));
        event.engines()
                .ifPresent(
                        engines -> list.require(engines >= 0, key + ".engines", engines, "give a number of 0 or more"));
    }

    private static void checkOrganisation(ProblemList list, String key, OrganisationConfig limits) {
        checkPriority(list, key, limits.priority());
        limits.requestsPerSecond()
                .ifPresent(rate -> list.require(
                        rate > 0, key + ".requests-per-second", rate, "give a number above 0, or leave the key out"));
        limits.weight().ifPresent(weight -> list.require(weight > 0, key + ".weight", weight, "give a number above 0"));
    }

    private static void checkModel(ProblemList list, String key, ModelConfig model) {
        list.require(
                model.maxContextTokens() > 0,
                key + ".context-tokens",
                model.maxContextTokens(),
                "give a number above 0");
        list.require(
                model.initialPrefillTokensPerSecond() > 0,
                key + ".prefill-per-second",
                model.initialPrefillTokensPerSecond(),
                "give a number above 0");
        list.require(
                model.initialDecodeTokensPerSecond() > 0,
                key + ".decode-per-second",
                model.initialDecodeTokensPerSecond(),
                "give a number above 0");
    }

    private static void checkPriority(ProblemList list, String key, Optional<Integer> priority) {
        priority.ifPresent(value -> list.require(
                value >= 0 && value <= HIGHEST_PRIORITY, key + ".priority", value, "give a number from 0 to 9"));
    }

    /** Collects problems, naming the file of each. */
    private static final class ProblemList {

        private final Map<String, String> origins;
        private final List<ConfigProblem> problems = new ArrayList<>();

        private ProblemList(Map<String, String> origins) {
            this.origins = origins;
        }

        private void require(boolean holds, String key, Object value, String cure) {
            if (!holds) {
                problems.add(new ConfigProblem(MergedConfig.originOf(origins, key), key, String.valueOf(value), cure));
            }
        }
    }
}
