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

/** Serializes ring buffer snapshots and timelines to JSON, and parses snapshots. */
public final class TimelineJson {
    private static final ObjectMapper JSON = createMapper();

    private TimelineJson() {}

    /**
     * Serializes a ring buffer snapshot.
     *
     * @param ring the snapshot
     * @return JSON
     */
    public static String write(EventRingBuffer.Snapshot ring) {
        return encode(ring);
    }

    /**
     * Serializes a timeline.
     *
     * @param line the timeline
     * @return JSON
     */
    public static String write(Timeline line) {
        return encode(line);
    }

    /**
     * Parses a ring buffer snapshot.
     *
     * @param json JSON from an instance
     * @return the snapshot
     * @throws TimelineFormatException if the text is not a valid snapshot
     */
    public static EventRingBuffer.Snapshot read(String json) throws TimelineFormatException {
        try {
            EventRingBuffer.Snapshot ring = JSON.readValue(json, EventRingBuffer.Snapshot.class);
            if (ring == null || ring.origin() == null) {
                throw new TimelineFormatException("field \"origin\" is missing", null);
            }
            if (ring.entries().stream().anyMatch(TimelineJson::hasMissingField)) {
                throw new TimelineFormatException("an entry lacks a required field", null);
            }
            return ring;
        } catch (JsonProcessingException e) {
            throw new TimelineFormatException(e.getOriginalMessage(), e);
        }
    }

    private static boolean hasMissingField(TimelineEntry entry) {
        return entry.origin() == null || entry.at() == null || entry.event() == null || entry.request() == null;
    }

    private static String encode(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize timeline to JSON: " + e.getMessage(), e);
        }
    }

    private static ObjectMapper createMapper() {
        SimpleModule ids = new SimpleModule();
        registerStringForm(ids, RequestId.class, RequestId::new);
        registerStringForm(ids, InstanceId.class, InstanceId::new);
        registerStringForm(ids, ServerId.class, ServerId::new);
        registerStringForm(ids, WorkspaceId.class, WorkspaceId::new);
        registerStringForm(ids, Region.class, Region::new);
        registerStringForm(ids, Zone.class, Zone::new);
        registerStringForm(ids, Incarnation.class, Incarnation::parse);
        registerStringForm(
                ids,
                HybridTimestamp.class,
                value -> HybridTimestamp.parse(value)
                        .orElseThrow(() -> new IllegalArgumentException("\"" + value + "\" is not a valid timestamp")));
        ObjectMapper json = new ObjectMapper()
                .registerModule(new Jdk8Module())
                .registerModule(ids)
                .addMixIn(Event.class, KindProperty.class)
                .addMixIn(Gap.class, KindProperty.class)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        for (Class<?> type : Event.class.getPermittedSubclasses()) {
            json.registerSubtypes(new NamedType(type, KindName.of(type)));
        }
        for (Class<?> type : Gap.class.getPermittedSubclasses()) {
            json.registerSubtypes(new NamedType(type, KindName.of(type)));
        }
        return json;
    }

    private static <T> void registerStringForm(SimpleModule module, Class<T> type, Function<String, T> parse) {
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
