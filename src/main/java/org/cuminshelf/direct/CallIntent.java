package org.cuminshelf.direct;

import java.util.Optional;
import java.util.OptionalLong;
import org.cuminshelf.organisations.RequestApiKeys;

/**
 * What a caller asks for, beside the request's own bytes.
 *
 * @param id             names the request, as the caller sent it; empty where it didn't
 * @param deadlineMillis milliseconds that the caller will wait; nothing where it doesn't say
 * @param generation     the shape of a generation, where the request is one
 * @param resumeAfter    the last event that the caller holds, where it resumes a stream
 * @param keys           the keys that came with it
 */
public record CallIntent(
        String id,
        OptionalLong deadlineMillis,
        Optional<GenerationShape> generation,
        OptionalLong resumeAfter,
        RequestApiKeys keys) {}
