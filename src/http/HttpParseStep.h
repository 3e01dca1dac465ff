#pragma once

namespace filbertbeam {

// What one call of a parser found.
enum class HttpParseStep
{
  // The input ends within an element; the rest of it has to be given again
  // together with more bytes.
  NeedMore,
  // The head is complete.
  Head,
  // A piece of the body, valid as long as the input.
  Body,
  // The message is complete.
  End,
  Failed,
};

} // namespace filbertbeam
