#pragma once

namespace filbertbeam {

// Result of one call of a parser.
enum class HttpParseStep
{
  // The input ends within an element; the unconsumed bytes have to be passed
  // again together with more input.
  NeedMore,
  // The head is complete.
  Head,
  // A part of the body is available; it is valid as long as the input.
  Body,
  // The message is complete.
  End,
  Failed,
};

} // namespace filbertbeam
