package org.cuminshelf.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.time.Duration;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Jackson mappers for configuration. Both reject duplicate keys and use durations such as {@code 780ms}. */
final class ConfigMapper {

    private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(ms|s|m|h|d)");
    private static final ObjectMapper JSON = configure(new ObjectMapper());
    private static final ObjectMapper YAML = configure(new ObjectMapper(YAMLFactory.builder()
            .enable(YAMLParser.Feature.EMPTY_STRING_AS_NULL)
            .build()));

    private ConfigMapper() {}

    /** Returns the mapper of the canonical form: JSON with sorted map keys. */
    static ObjectMapper json() {
        return JSON;
    }

    /** Returns the mapper of the YAML that operators write; it reads empty strings as null. */
    static ObjectMapper yaml() {
        return YAML;
    }

    private static ObjectMapper configure(ObjectMapper mapper) {
        SimpleModule module = new SimpleModule();
        module.addDeserializer(Duration.class, new DurationDeserializer());
        module.addDeserializer(OffsetDateTime.class, new OffsetDateTimeDeserializer());
        module.addSerializer(Duration.class, new DurationSerializer());
        return mapper.registerModule(new Jdk8Module())
                .registerModule(module)
                .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                .disable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);
    }

    private static final class DurationDeserializer extends StdDeserializer<Duration> {

        private static final long serialVersionUID = 1L;

        private DurationDeserializer() {
            super(Duration.class);
        }

        @Override
        public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            String text = parser.getValueAsString("");
            Matcher matcher = DURATION.matcher(text);
            if (!matcher.matches()) {
                throw context.weirdStringException(
                        text, Duration.class, "write a whole number with ms, s, m, h or d, such as 780ms");
            }
            long number = Long.parseLong(matcher.group(1));
            return switch (matcher.group(2)) {
                case "ms" -> Duration.ofMillis(number);
                case "s" -> Duration.ofSeconds(number);
                case "m" -> Duration.ofMinutes(number);
                case "h" -> Duration.ofHours(number);
                default -> Duration.ofDays(number);
            };
        }
    }

    private static final class DurationSerializer extends JsonSerializer<Duration> {
        @Override
        public void serialize(Duration value, com.fasterxml.jackson.core.JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeString(value.toMillis() + "ms");
        }
    }

    private static final class OffsetDateTimeDeserializer extends StdDeserializer<OffsetDateTime> {

        private static final long serialVersionUID = 1L;

        private OffsetDateTimeDeserializer() {
            super(OffsetDateTime.class);
        }

        @Override
        public OffsetDateTime deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            String text = parser.getValueAsString("");
            try {
                return OffsetDateTime.parse(text);
            } catch (DateTimeParseException e) {
                throw context.weirdStringException(
                        text,
                        OffsetDateTime.class,
                        "write a date and time with its offset, such as 2027-03-01T09:00:00+01:00");
            }
        }
    }
}
