#include "core/errors.h"

namespace lagoondeck {

std::string_view toString(FieldProblemKind kind)
{
    switch (kind) {
    case FieldProblemKind::Missing:
        return "missing";
    case FieldProblemKind::UnknownField:
        return "unknown field";
    case FieldProblemKind::WrongType:
        return "wrong type";
    case FieldProblemKind::OutOfRange:
        return "out of range";
    case FieldProblemKind::BadFormat:
        return "bad format";
    case FieldProblemKind::Conflict:
        return "conflict";
    }
    return "bad format";
}

} // namespace lagoondeck
