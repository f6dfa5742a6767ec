package org.ibissaddle.internal.note;

import java.io.IOException;
import java.io.StringReader;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.ex.ConfigurationRuntimeException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.ibissaddle.note.NoteFault;

/**
 * Parses INI text into sections. Iterates over the parsed tree, because each lookup by section name takes linear time.
 */
public final class IniParser {
    /** Maximum length of a text in characters. */
    public static final int MAX_LENGTH = 64 * 1024 * 1024;

    private IniParser() {}

    /**
     * Parses a text into sections.
     *
     * @param text INI text
     * @param faults list that validation errors are added to
     * @return sections by title, in text order
     */
    public static Map<String, Section> parse(String text, List<NoteFault> faults) {
        Map<String, Section> sections = new LinkedHashMap<>();
        if (text.length() > MAX_LENGTH) {
            faults.add(new NoteFault.Unreadable("it is longer than " + MAX_LENGTH + " characters"));
            return sections;
        }
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | ConfigurationRuntimeException | IOException e) {
            faults.add(new NoteFault.Unreadable(String.valueOf(e.getMessage())));
            return sections;
        }
        for (ImmutableNode node : ini.getNodeModel().getInMemoryRepresentation().getChildren()) {
            if (node.getValue() != null) {
                faults.add(new NoteFault.KeyOutsideSection(node.getNodeName()));
                continue;
            }
            Section section = parseSection(node, faults);
            if (sections.putIfAbsent(section.title(), section) != null) {
                faults.add(new NoteFault.DuplicateKey(section.title(), "[" + section.title() + "]"));
            }
        }
        return sections;
    }

    private static Section parseSection(ImmutableNode node, List<NoteFault> faults) {
        String title = String.join(" ", node.getNodeName().strip().split("\\s+"));
        Map<String, String> values = new LinkedHashMap<>();
        for (ImmutableNode key : node.getChildren()) {
            String value =
                    key.getValue() == null ? "" : key.getValue().toString().strip();
            if (values.putIfAbsent(key.getNodeName(), value) != null) {
                faults.add(new NoteFault.DuplicateKey(title, key.getNodeName()));
            }
        }
        return new Section(title, values);
    }
}
