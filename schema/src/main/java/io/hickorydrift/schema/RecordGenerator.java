package io.hickorydrift.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.FieldSpec;
import com.palantir.javapoet.JavaFile;
import com.palantir.javapoet.MethodSpec;
import com.palantir.javapoet.ParameterSpec;
import com.palantir.javapoet.ParameterizedTypeName;
import com.palantir.javapoet.TypeName;
import com.palantir.javapoet.TypeSpec;
import com.palantir.javapoet.WildcardTypeName;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.lang.model.element.Modifier;

/**
 * Turns the definitions of the message schema into Java records and enums, each record with a
 * builder. The output depends on the schema alone, so that a check can compare it with the
 * committed files.
 *
 * <p>Thread safety: stateless apart from final fields; not meant to be shared.
 */
public final class RecordGenerator {
  private static final String PACKAGE = "io.hickorydrift.core.message";
  private static final ClassName BUILDER = ClassName.get("", "Builder");

  private final JsonNode definitions;

  /** Reads the schema at {@code schemaFile}. */
  public RecordGenerator(Path schemaFile) throws IOException {
    definitions = new ObjectMapper().readTree(schemaFile.toFile()).get("$defs");
  }

  /** Writes all generated files: arguments are the schema file and the source folder. */
  public static void main(String[] args) throws IOException {
    Path folder = Path.of(args[1]).resolve(PACKAGE.replace('.', '/'));
    Files.createDirectories(folder);
    for (Map.Entry<String, String> file :
        new RecordGenerator(Path.of(args[0])).generate().entrySet()) {
      Files.writeString(folder.resolve(file.getKey()), file.getValue());
    }
  }

  /** Returns the source text of each generated file by file name. */
  public Map<String, String> generate() {
    Map<String, String> files = new TreeMap<>();
    definitions
        .fields()
        .forEachRemaining(
            entry ->
                files.put(entry.getKey() + ".java", sourceText(entry.getKey(), entry.getValue())));
    files.put("PeerType.java", render(peerTypeEnum()));
    files.put(
        "package-info.java",
        "/** Messages and stored values, generated from schema/messages.json. */\npackage "
            + PACKAGE
            + ";\n");
    return files;
  }

  private String sourceText(String name, JsonNode definition) {
    return render(
        definition.has("enum") ? enumType(name, definition) : recordType(name, definition));
  }

  private static String render(TypeSpec type) {
    return JavaFile.builder(PACKAGE, type).skipJavaLangImports(true).build().toString();
  }

  private static TypeSpec enumType(String name, JsonNode definition) {
    TypeSpec.Builder type =
        TypeSpec.enumBuilder(name)
            .addModifiers(Modifier.PUBLIC)
            .addJavadoc(typeDescription(definition));
    for (JsonNode constant : definition.get("enum")) {
      type.addEnumConstant(constant.asText());
    }
    return type.build();
  }

  private TypeSpec peerTypeEnum() {
    TypeSpec.Builder type =
        TypeSpec.enumBuilder("PeerType")
            .addModifiers(Modifier.PUBLIC)
            .addJavadoc("Kinds of message on a peer link, with their number on the wire.")
            .addField(TypeName.INT, "number", Modifier.PRIVATE, Modifier.FINAL)
            .addField(anyRecordClass(), "type", Modifier.PRIVATE, Modifier.FINAL);
    definitions.fields().forEachRemaining(entry -> addPeerType(type, entry));
    type.addMethod(
        MethodSpec.constructorBuilder()
            .addParameter(TypeName.INT, "number")
            .addParameter(anyRecordClass(), "type")
            .addStatement("this.number = number")
            .addStatement("this.type = type")
            .build());
    type.addMethod(getter("number", TypeName.INT, "Returns the number on the wire."));
    type.addMethod(getter("type", anyRecordClass(), "Returns the record that carries it."));
    return type.build();
  }

  private static TypeName anyRecordClass() {
    return ParameterizedTypeName.get(
        ClassName.get(Class.class), WildcardTypeName.subtypeOf(ClassName.get(Record.class)));
  }

  private static MethodSpec getter(String name, TypeName type, String doc) {
    return MethodSpec.methodBuilder(name)
        .addModifiers(Modifier.PUBLIC)
        .addJavadoc(doc)
        .returns(type)
        .addStatement("return $N", name)
        .build();
  }

  private static void addPeerType(TypeSpec.Builder type, Map.Entry<String, JsonNode> entry) {
    if (!entry.getValue().has("peerType")) {
      return;
    }
    String constant = entry.getKey().replaceAll("(?<=[a-z])(?=[A-Z])", "_").toUpperCase();
    type.addEnumConstant(
        constant,
        TypeSpec.anonymousClassBuilder(
                "$L, $T.class",
                entry.getValue().get("peerType").asInt(),
                ClassName.get(PACKAGE, entry.getKey()))
            .build());
  }

  private TypeSpec recordType(String name, JsonNode definition) {
    MethodSpec.Builder constructor = MethodSpec.constructorBuilder();
    TypeSpec.Builder builder =
        TypeSpec.classBuilder("Builder")
            .addModifiers(Modifier.PUBLIC, Modifier.STATIC, Modifier.FINAL)
            .addJavadoc("Builds a {@code $L}. Not thread safe.", name);
    StringBuilder arguments = new StringBuilder();
    StringBuilder doc = new StringBuilder(definition.get("description").asText());
    doc.append("\n\n<p>Thread safety: immutable as long as its collections are.\n");
    definition
        .get("properties")
        .fields()
        .forEachRemaining(
            property -> {
              TypeName type = typeName(property.getValue());
              String field = property.getKey();
              constructor.addParameter(ParameterSpec.builder(type, field).build());
              doc.append("\n@param ")
                  .append(field)
                  .append(' ')
                  .append(propertyDescription(property.getValue()));
              addBuilderField(builder, type, field, propertyDescription(property.getValue()));
              arguments.append(arguments.isEmpty() ? "" : ", ").append(field);
            });
    ClassName self = ClassName.get(PACKAGE, name);
    builder.addMethod(
        MethodSpec.methodBuilder("build")
            .addModifiers(Modifier.PUBLIC)
            .addJavadoc("Returns the record.")
            .returns(self)
            .addStatement("return new $T($L)", self, arguments)
            .build());
    return TypeSpec.recordBuilder(name)
        .addModifiers(Modifier.PUBLIC)
        .recordConstructor(constructor.build())
        .addJavadoc("$L", doc)
        .addMethod(
            MethodSpec.methodBuilder("builder")
                .addModifiers(Modifier.PUBLIC, Modifier.STATIC)
                .addJavadoc("Returns an empty builder.")
                .returns(BUILDER)
                .addStatement("return new Builder()")
                .build())
        .addType(builder.build())
        .build();
  }

  private static void addBuilderField(
      TypeSpec.Builder builder, TypeName type, String field, String doc) {
    builder.addField(FieldSpec.builder(type, field, Modifier.PRIVATE).build());
    builder.addMethod(
        MethodSpec.methodBuilder(field)
            .addModifiers(Modifier.PUBLIC)
            .addJavadoc("Sets the $L.", doc)
            .addParameter(type, field)
            .returns(BUILDER)
            .addStatement("this.$N = $N", field, field)
            .addStatement("return this")
            .build());
  }

  private static String typeDescription(JsonNode definition) {
    return definition.get("description").asText();
  }

  private static String propertyDescription(JsonNode property) {
    return property.get("description").asText();
  }

  private TypeName typeName(JsonNode property) {
    if (property.has("$ref")) {
      return ClassName.get(PACKAGE, property.get("$ref").asText());
    }
    boolean optional = property.path("optional").asBoolean();
    switch (property.get("type").asText()) {
      case "integer":
        return optional ? TypeName.LONG.box() : TypeName.LONG;
      case "number":
        return TypeName.DOUBLE;
      case "boolean":
        return TypeName.BOOLEAN;
      case "string":
        return ClassName.get(String.class);
      case "any":
        return ClassName.get(Object.class);
      case "map":
        return ParameterizedTypeName.get(Map.class, String.class, String.class);
      case "array":
        return ParameterizedTypeName.get(
            ClassName.get(List.class), typeName(property.get("items")).box());
      default:
        return ClassName.get(PACKAGE, property.get("type").asText());
    }
  }
}
