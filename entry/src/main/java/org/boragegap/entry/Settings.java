package org.boragegap.entry;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** The settings of an entry process; all values have been checked. */
public final class Settings {
    private static final int MILLIS_PER_CORE = 1_000;

    private final Map<Setting, String> mValues;
    private final List<String> mReplacedValues;

    private Settings(Map<Setting, String> values, List<String> replacedValues) {
        mValues = values;
        mReplacedValues = replacedValues;
    }

    /** The result of reading settings. */
    public sealed interface ReadResult {

        /**
         * All settings are valid.
         *
         * @param settings the settings
         */
        record Valid(Settings settings) implements ReadResult {}

        /**
         * Some settings are not valid.
         *
         * @param problems one line for each problem
         */
        record Invalid(List<String> problems) implements ReadResult {}
    }

    /** Reads settings from an INI file. */
    public static ReadResult read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return new ReadResult.Invalid(List.of(file + ": can't be read: " + e.getMessage()));
        }
    }

    /** Reads settings from the text of an INI file; {@code name} names the file in errors. */
    public static ReadResult parse(String name, String text) {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = new StringReader(text)) {
            ini.read(reader);
        } catch (ConfigurationException | IOException e) {
            return new ReadResult.Invalid(List.of(name + ": not an INI file: " + e.getMessage()));
        }
        SettingsReader reader = new SettingsReader(name, ini);
        reader.read();
        return reader.problems().isEmpty()
                ? new ReadResult.Valid(new Settings(reader.values(), reader.replacedValues()))
                : new ReadResult.Invalid(reader.problems());
    }

    static List<String> split(String value) {
        return Arrays.stream(value.split(",")).map(String::trim).toList();
    }

    /** The values of the platform that can't be used and what replaces them, one line for each. */
    public List<String> replacedValues() {
        return mReplacedValues;
    }

    /** A value as text. */
    public String text(Setting setting) {
        return mValues.get(setting);
    }

    /** A value as a whole number. */
    public long number(Setting setting) {
        return Long.parseLong(mValues.get(setting));
    }

    /** A value as a number that may have a fraction. */
    public double decimal(Setting setting) {
        return Double.parseDouble(mValues.get(setting));
    }

    /** CPU capacity of this VM, in thousandths of a core. */
    public int cpuMillis() {
        double cores = decimal(Setting.CORES) * decimal(Setting.CPU_SHARE);
        return (int) Math.round(cores * MILLIS_PER_CORE);
    }

    /** A value as a boolean. */
    public boolean flag(Setting setting) {
        return Boolean.parseBoolean(mValues.get(setting));
    }

    /** A value as a list of names. */
    public List<String> names(Setting setting) {
        return split(mValues.get(setting));
    }

    /** The host of an address. */
    public String host(Setting setting) {
        String address = text(setting);
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** The port of an address. */
    public int port(Setting setting) {
        String address = text(setting);
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
