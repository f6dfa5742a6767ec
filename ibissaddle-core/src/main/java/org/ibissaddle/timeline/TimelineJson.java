package org.ibissaddle.timeline;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.function.Function;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;

/** Writes and reads rings and time lines as JSON. */
public final class TimelineJson {
    private static final ObjectMapper JSON = mapper();

    private TimelineJson() {}

    /**
     * Writes a ring's copy.
     *
     * @param ring the copy
     * @return JSON
     */
    public static String write(EventRing.Snapshot ring) {
        return encode(ring);
    }

    /**
     * Writes a time line.
     *
     * @param line the time line
     * @return JSON
     */
    public static String write(Timeline line) {
        return encode(line);
    }

    /**
     * Reads a ring's copy.
     *
     * @param json JSON from an instance
     * @return the copy
     * @throws TimelineFormatException when the text is not one
     */
    public static EventRing.Snapshot read(String json) throws TimelineFormatException {
        try {
            EventRing.Snapshot ring = JSON.readValue(json, EventRing.Snapshot.class);
            if (ring == null || ring.origin() == null) {
                throw new TimelineFormatException("it names no origin", null);
            }
            if (ring.entries().stream().anyMatch(TimelineJson::incomplete)) {
                throw new TimelineFormatException("an event lacks a field", null);
            }
            return ring;
        } catch (JsonProcessingException e) {
            throw new TimelineFormatException(e.getOriginalMessage(), e);
        }
    }

    private static boolean incomplete(Entry entry) {
        return entry.origin() == null || entry.at() == null || entry.event() == null || entry.request() == null;
    }

    private static String encode(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a time line cannot be written as JSON: " + e.getMessage(), e);
        }
    }

    private static ObjectMapper mapper() {
        SimpleModule ids = new SimpleModule();
        text(ids, RequestId.class, RequestId::new);
        text(ids, InstanceId.class, InstanceId::new);
        text(ids, ServerId.class, ServerId::new);
        text(ids, WorkspaceId.class, WorkspaceId::new);
        text(ids, Region.class, Region::new);
        text(ids, Zone.class, Zone::new);
        text(ids, Incarnation.class, Incarnation::parse);
        text(
                ids,
                Stamp.class,
                value -> Stamp.parse(value)
                        .orElseThrow(() -> new IllegalArgumentException("\"" + value + "\" is not a stamp")));
        ObjectMapper json = new ObjectMapper()
                .registerModule(new Jdk8Module())
                .registerModule(ids)
                .addMixIn(Event.class, KindProperty.class)
                .addMixIn(Gap.class, KindProperty.class)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        for (Class<?> type : Event.class.getPermittedSubclasses()) {
            json.registerSubtypes(new NamedType(type, Kind.of(type)));
        }
        for (Class<?> type : Gap.class.getPermittedSubclasses()) {
            json.registerSubtypes(new NamedType(type, Kind.of(type)));
        }
        return json;
    }

    private static <T> void text(SimpleModule module, Class<T> type, Function<String, T> parse) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new JsonDeserializer<T>() {
            @Override
            public T deserialize(com.fasterxml.jackson.core.JsonParser parser, DeserializationContext context)
                    throws IOException {
                String value = parser.getValueAsString("");
                try {
                    return parse.apply(value);
                } catch (IllegalArgumentException e) {
                    throw context.weirdStringException(value, type, e.getMessage());
                }
            }
        });
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
    @JsonIgnoreProperties(ignoreUnknown = true)
    private interface KindProperty {}
}
