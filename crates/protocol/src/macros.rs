//! Macros that define the enums and structs of the wire format with their encoding.

macro_rules! wire_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $code:literal => $word:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$vdoc])* $variant,)* }
        impl $name {
            /// All values, in the order of their codes.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];
            /// The name of the value in logs, headers and records.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $word),* }
            }
            /// The value with this name.
            pub fn from_name(word: &str) -> Option<Self> {
                match word { $($word => Some(Self::$variant),)* _ => None }
            }
        }
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }
        impl crate::field::Field for $name {
            fn encode(&self, out: &mut Vec<u8>) {
                out.push(match self { $(Self::$variant => $code),* });
            }
            fn decode(reader: &mut crate::field::Reader) -> Result<Self, crate::error::FrameError> {
                match u8::decode(reader)? {
                    $($code => Ok(Self::$variant),)*
                    value => Err(crate::error::FrameError::Value { field: reader.field, value }),
                }
            }
        }
    };
}

macro_rules! wire_struct {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident: $type:ty,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash)]
        pub struct $name { $($(#[$fdoc])* pub $field: $type,)* }
        impl crate::field::Field for $name {
            fn encode(&self, out: &mut Vec<u8>) {
                $(crate::field::Field::encode(&self.$field, out);)*
            }
            fn decode(reader: &mut crate::field::Reader) -> Result<Self, crate::error::FrameError> {
                Ok(Self { $($field: { reader.field = stringify!($field); crate::field::Field::decode(reader)? }),* })
            }
        }
    };
}

pub(crate) use {wire_enum, wire_struct};
