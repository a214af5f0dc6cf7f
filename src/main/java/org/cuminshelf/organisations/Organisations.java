package org.cuminshelf.organisations;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The organisations of one configuration, by their keys. A lookup takes the same time however many there are. */
public final class Organisations {

    private static final Organisations UNRESTRICTED = new Organisations(List.of(), false);
    private static final AccessDecision ANONYMOUS = new AccessDecision.Anonymous();

    private final List<Organisation> all;
    private final boolean keysNeeded;
    private final Map<ApiKeyDigest, Organisation> byKey = new HashMap<>();

    private Organisations(List<Organisation> all, boolean keysNeeded) {
        this.all = List.copyOf(all);
        this.keysNeeded = keysNeeded;
        all.forEach(organisation -> organisation.keys().forEach(key -> byKey.putIfAbsent(key, organisation)));
    }

    /**
     * A deployment that knows no organisations.
     *
     * @return a table by which any request may run in nobody's name
     */
    public static Organisations unrestricted() {
        return UNRESTRICTED;
    }

    /**
     * Makes the table of a deployment that names its organisations.
     *
     * @param all the organisations; without any, no key is valid
     * @return the table; see {@link #validationError()}
     */
    public static Organisations of(List<Organisation> all) {
        return new Organisations(all, true);
    }

    /**
     * Finds what makes this table unfit to be in force.
     *
     * @return the first problem, with the organisations it is about and without keys
     */
    public Optional<String> validationError() {
        Set<String> names = new HashSet<>();
        for (Organisation organisation : all) {
            if (organisation.name().isBlank()) {
                return Optional.of("an organisation has an empty name");
            }
            if (!names.add(organisation.name())) {
                return Optional.of("two organisations are named " + organisation.name());
            }
            for (ApiKeyDigest key : organisation.keys()) {
                Organisation holder = byKey.get(key);
                if (holder != organisation) {
                    return Optional.of("the organisations " + holder.name() + " and " + organisation.name()
                            + " hold the same key");
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Judges in whose name a request may run.
     *
     * @param keys        the keys that came with it
     * @param publicRoute whether its route asks for none
     * @return the organisation, nobody, or why it may not run
     */
    public AccessDecision authorise(RequestApiKeys keys, boolean publicRoute) {
        Optional<Organisation> holder = keys.single().map(byKey::get);
        if (holder.isPresent()) {
            return new AccessDecision.Authorised(holder.get());
        }
        if (publicRoute || !keysNeeded) {
            return ANONYMOUS;
        }
        return new AccessDecision.Denied(reason(keys));
    }

    private static String reason(RequestApiKeys keys) {
        return switch (keys.digests().size()) {
            case 0 -> "no-key";
            case 1 -> "unknown-key";
            default -> "several-keys";
        };
    }

    /**
     * All organisations.
     *
     * @return the organisations as they were given
     */
    public List<Organisation> all() {
        return all;
    }
}
