package org.ibissaddle.membership;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.function.Function;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;

/**
 * Encodes messages between instances as JSON.
 *
 * <pre>{@code
 * byte[] body = GossipCodec.encode(gossip);
 * Gossip answer = GossipCodec.decode(reply, Gossip.class);
 * }</pre>
 */
public final class GossipCodec {
    /** Longest message that is read, bytes. */
    public static final int MAX_BYTES = 4_000_000;

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .addModule(names())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private GossipCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return JSON in UTF-8
     */
    public static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JacksonException e) {
            throw new IllegalArgumentException(
                    "message of " + message.getClass() + " cannot be written as JSON; give it fields that can", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param body JSON in UTF-8
     * @param type type of the message
     * @param <T> type of the message
     * @return the message
     * @throws MessageRejectedException when the body is too long or not such a message
     */
    public static <T> T decode(byte[] body, Class<T> type) throws MessageRejectedException {
        if (body.length > MAX_BYTES) {
            throw new MessageRejectedException(type, "it has " + body.length + " bytes, at most " + MAX_BYTES, null);
        }
        try {
            T message = MAPPER.readValue(body, type);
            if (message == null) {
                throw new MessageRejectedException(type, "it is null", null);
            }
            return message;
        } catch (IOException e) {
            throw new MessageRejectedException(type, String.valueOf(e.getMessage()), e);
        }
    }

    private static SimpleModule names() {
        SimpleModule module = new SimpleModule("names");
        add(module, InstanceId.class, InstanceId::new);
        add(module, ServerId.class, ServerId::new);
        add(module, PoolId.class, PoolId::new);
        add(module, AdapterId.class, AdapterId::new);
        add(module, Region.class, Region::new);
        add(module, Zone.class, Zone::new);
        add(module, Address.class, Address::parse);
        add(module, ModelId.class, ModelId::parse);
        add(module, Incarnation.class, Incarnation::parse);
        return module;
    }

    private static <T> void add(SimpleModule module, Class<T> type, Function<String, T> parser) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new NameDeserializer<>(type, parser));
    }

    private static final class NameDeserializer<T> extends FromStringDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parser;

        NameDeserializer(Class<T> type, Function<String, T> parser) {
            super(type);
            this.parser = parser;
        }

        @Override
        protected T _deserialize(String value, DeserializationContext context) throws IOException {
            try {
                return parser.apply(value);
            } catch (InvalidNameException e) {
                JsonParser at = context.getParser();
                throw new com.fasterxml.jackson.databind.exc.InvalidFormatException(
                        at, String.valueOf(e.getMessage()), value, _valueClass);
            }
        }
    }
}
