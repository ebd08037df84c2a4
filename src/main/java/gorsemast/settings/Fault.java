package gorsemast.settings;

/**
 * One thing that is wrong with a settings file.
 *
 * @param line from 1; 0 where the whole file is meant
 * @param column from 1
 * @param key the way to it from the top, with dots; empty for the top itself
 * @param wrong what is wrong
 * @param right what would be right, empty where that is plain
 */
public record Fault(int line, int column, String key, String wrong, String right) {
    /** As it is printed behind the file's name: {@code line:column: key: wrong; right}. */
    @Override
    public String toString() {
        return (line > 0 ? line + ":" + column + ": " : "")
                + (key.isEmpty() ? "" : key + ": ")
                + wrong
                + (right.isEmpty() ? "" : "; " + right);
    }
}
